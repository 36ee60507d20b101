"""In-memory stand-ins for the platform's store and for backend servers."""

from wigeonrouter.standins import _backend
from wigeonrouter.standins import _store

BackendStandin = _backend.BackendStandin
StoreStandin = _store.StoreStandin
