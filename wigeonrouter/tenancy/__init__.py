"""Decisions on tenants: who may send, and how much."""

from wigeonrouter.tenancy import _grant_bounds
from wigeonrouter.tenancy import _keys
from wigeonrouter.tenancy import _ledger
from wigeonrouter.tenancy import _level_keeper
from wigeonrouter.tenancy import _node_presence
from wigeonrouter.tenancy import _quota
from wigeonrouter.tenancy import _region_shares
from wigeonrouter.tenancy import _wallet

Demand = _region_shares.Demand
GrantLevels = _grant_bounds.GrantLevels
LevelKeeper = _level_keeper.LevelKeeper
StoredLevels = _level_keeper.StoredLevels
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
DEFAULT_LEVEL = _grant_bounds.DEFAULT_LEVEL
PARTS = _region_shares.PARTS
UNLIMITED_LEVEL = _grant_bounds.UNLIMITED_LEVEL
round_missing = _region_shares.round_missing
TOKEN_LIFETIME_S = _quota.TOKEN_LIFETIME_S
