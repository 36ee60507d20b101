"""Which daemons callers should use for a service."""

from wigeonrouter.entries import _homes
from wigeonrouter.entries import _planner

Entry = _homes.Entry
EntryPlanner = _planner.EntryPlanner

choose_entries = _homes.choose_entries
home_members = _homes.home_members
request_id_prefix = _homes.request_id_prefix
