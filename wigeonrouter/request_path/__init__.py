"""Handles caller requests: routing, forwarding, retries, duplicates."""

from wigeonrouter import http1
from wigeonrouter.request_path import _handler
from wigeonrouter.request_path import _request_ids
from wigeonrouter.request_path import _request_rules

CallerServer = http1.CallerServer
HttpRequest = http1.HttpRequest
HttpResponse = http1.HttpResponse
RequestHandler = _handler.RequestHandler
RequestIdTable = _request_ids.RequestIdTable
RequestReader = http1.RequestReader
RequestRecord = _handler.RequestRecord

may_retry = _request_rules.may_retry
read_response = http1.read_response
