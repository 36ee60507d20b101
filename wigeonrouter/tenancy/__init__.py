"""Decisions on tenants: who may send, and how much."""

from wigeonrouter.tenancy import _keys
from wigeonrouter.tenancy import _ledger
from wigeonrouter.tenancy import _node_presence
from wigeonrouter.tenancy import _quota
from wigeonrouter.tenancy import _region_shares
from wigeonrouter.tenancy import _wallet

Demand = _region_shares.Demand
KeyTable = _keys.KeyTable
NodePresence = _node_presence.NodePresence
QuotaRules = _quota.QuotaRules
RegionLedger = _ledger.RegionLedger
ShareKeeper = _region_shares.ShareKeeper
Shares = _region_shares.Shares
TenantGrant = _quota.TenantGrant
TenantHistory = _quota.TenantHistory
TenantOrder = _quota.TenantOrder
QuotaToken = _wallet.QuotaToken
Wallet = _wallet.Wallet
PARTS = _region_shares.PARTS
round_missing = _region_shares.round_missing
TOKEN_LIFETIME_S = _quota.TOKEN_LIFETIME_S
