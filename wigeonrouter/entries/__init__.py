"""Which daemons callers should use for a service."""

from wigeonrouter.entries import _homes

Entry = _homes.Entry

choose_entries = _homes.choose_entries
home_members = _homes.home_members
request_id_prefix = _homes.request_id_prefix
