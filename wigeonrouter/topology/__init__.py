"""What a node knows of its deployment: routes, backend servers, itself."""

from wigeonrouter.topology import _directory
from wigeonrouter.topology import _records
from wigeonrouter.topology import _routing

Bounds = _records.Bounds
CallerLimits = _records.CallerLimits
Configuration = _records.Configuration
ConfigurationRejected = _records.ConfigurationRejected
ConfigurationWritten = _records.ConfigurationWritten
Known = _directory.Known
NodeSettings = _records.NodeSettings
Registration = _records.Registration
RegistrationRemoved = _records.RegistrationRemoved
RegistrationState = _records.RegistrationState
RegistrationWritten = _records.RegistrationWritten
Route = _records.Route
ServerDirectory = _directory.ServerDirectory
ServiceSettings = _records.ServiceSettings
Share = _records.Share
StoreContent = _records.StoreContent
Splitter = _routing.Splitter
RouteTable = _routing.RouteTable
