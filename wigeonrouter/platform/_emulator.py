"""Emulators of the platform's store and backend servers, for tests.

They speak the platform's protocol on loopback and inject faults on demand,
so that tests do not need the platform itself.
"""

from wigeonrouter.platform import _emulated_backend
from wigeonrouter.platform import _emulated_server
from wigeonrouter.platform import _emulated_store
from wigeonrouter.platform import _surplus_responses

ENDLESS_BYTES = _emulated_backend.ENDLESS_BYTES
EmulatedBackend = _emulated_backend.EmulatedBackend
EmulatedServer = _emulated_server.EmulatedServer
EmulatedStore = _emulated_store.EmulatedStore
StoreAddress = _emulated_store.StoreAddress
Run = _emulated_backend.Run
SurplusMoment = _surplus_responses.SurplusMoment
SurplusResponses = _surplus_responses.SurplusResponses
