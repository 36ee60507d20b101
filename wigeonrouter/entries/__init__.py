"""Selects the daemons that callers should use for a service."""

from wigeonrouter.entries import _homes
from wigeonrouter.entries import _ranking_cache

Entry = _homes.Entry
EntryRankingCache = _ranking_cache.EntryRankingCache

choose_entries = _homes.choose_entries
home_members = _homes.home_members
request_id_prefix = _homes.request_id_prefix
