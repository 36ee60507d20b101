"""Routing of requests to services and assignment of slots of their servers."""

from wigeonrouter.dispatch import _dispatcher
from wigeonrouter.dispatch import _router

DEFAULT_KIND = _router.DEFAULT_KIND
Dispatcher = _dispatcher.Dispatcher
RoutingTable = _router.RoutingTable
WaitingRequest = _dispatcher.WaitingRequest

build_routing_table = _router.build_routing_table
find_kind = _router.find_kind
find_service = _router.find_service
