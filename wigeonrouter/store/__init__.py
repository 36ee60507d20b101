"""One interface to the platform's key-value store and VM list."""

from wigeonrouter.store import _framing as framing  # noqa: F401
from wigeonrouter.store import _interface
from wigeonrouter.store import _tcp

Events = _interface.Events
HistoryLost = _interface.HistoryLost
Item = _interface.Item
Listing = _interface.Listing
Position = _interface.Position
Store = _interface.Store
StoreError = _interface.StoreError
StoreReplyLost = _interface.StoreReplyLost
StoreUnavailable = _interface.StoreUnavailable
TcpStore = _tcp.TcpStore
Vm = _interface.Vm
VmListing = _interface.VmListing

adapter = _interface.adapter
adapter_names = _interface.adapter_names
open_store = _interface.open_store
