"""The path of a request: caller connections, forwarding, request ids."""

from wigeonrouter.request_path import _decisions
from wigeonrouter.request_path import _handler
from wigeonrouter.request_path import _http
from wigeonrouter.request_path import _request_ids
from wigeonrouter.request_path import _server

CallerServer = _server.CallerServer
HttpRequest = _http.HttpRequest
HttpResponse = _http.HttpResponse
RequestHandler = _handler.RequestHandler
RequestIdTable = _request_ids.RequestIdTable
RequestReader = _http.RequestReader
RequestRecord = _handler.RequestRecord

may_retry = _decisions.may_retry
read_response = _http.read_response
