"""Decisions on tenants: who may send, and how much."""

from wigeonrouter.tenancy import _ledger
from wigeonrouter.tenancy import _membership
from wigeonrouter.tenancy import _quota
from wigeonrouter.tenancy import _wallet

Membership = _membership.Membership
QuotaRules = _quota.QuotaRules
RegionLedger = _ledger.RegionLedger
TenantGrant = _quota.TenantGrant
TenantHistory = _quota.TenantHistory
TenantOrder = _quota.TenantOrder
Token = _wallet.Token
Wallet = _wallet.Wallet
TOKEN_LIFETIME_S = _quota.TOKEN_LIFETIME_S
