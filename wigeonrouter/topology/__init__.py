"""What a node knows of its deployment: routes, servers and nodes."""

from wigeonrouter.topology import _directory
from wigeonrouter.topology import _evacuations
from wigeonrouter.topology import _freshness
from wigeonrouter.topology import _records
from wigeonrouter.topology import _region
from wigeonrouter.topology import _region_history
from wigeonrouter.topology import _routing

Authentication = _records.Authentication
Bounds = _records.Bounds
CallerLimits = _records.CallerLimits
Configuration = _records.Configuration
ConfigurationRejected = _records.ConfigurationRejected
ConfigurationWritten = _records.ConfigurationWritten
ContentScope = _records.ContentScope
CrashStored = _records.CrashStored
CopyFreshness = _freshness.CopyFreshness
Departure = _records.Departure
Evacuations = _evacuations.Evacuations
EvacuationRemoved = _records.EvacuationRemoved
EvacuationWritten = _records.EvacuationWritten
KnownServer = _directory.KnownServer
NodeRemoved = _records.NodeRemoved
NodeSettings = _records.NodeSettings
NodeWritten = _records.NodeWritten
Peer = _region.Peer
QuotaDemandWritten = _records.QuotaDemandWritten
QuotaLevelsWritten = _records.QuotaLevelsWritten
QuotaSharesWritten = _records.QuotaSharesWritten
Registration = _records.Registration
RegistrationRemoved = _records.RegistrationRemoved
RegistrationState = _records.RegistrationState
RegistrationWritten = _records.RegistrationWritten
Role = _region.Role
RoleKind = _region.RoleKind
Route = _records.Route
ServerDirectory = _directory.ServerDirectory
ServiceSettings = _records.ServiceSettings
TrafficShare = _records.TrafficShare
StoreContent = _records.StoreContent
StoreMemory = _records.StoreMemory
Tenant = _records.Tenant
TrafficSplitter = _routing.TrafficSplitter
RouteTable = _routing.RouteTable
CallerTimeoutLearned = _records.CallerTimeoutLearned
HubAction = _region.HubAction
RegionHistory = _region_history.RegionHistory

catch_up_age = _freshness.catch_up_age
candidate_order = _region.candidate_order
entry_nodes = _region.entry_nodes
decide_role = _region.decide_role
entry_peers = _region.entry_peers
forwarding_peers = _region.forwarding_peers
home_nodes = _region.home_nodes
later_hubs = _region.later_hubs
remote_forwarding_hosts = _region.remote_forwarding_hosts
merge_rate_limits = _region.merge_rate_limits
should_check_store = _region.should_check_store
should_step_down = _region.should_step_down
