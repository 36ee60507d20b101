"""The path of a request: caller connections, forwarding, request ids."""

from wigeonrouter.request_path import _decisions
from wigeonrouter.request_path import _handler
from wigeonrouter.request_path import _messages
from wigeonrouter.request_path import _request_ids
from wigeonrouter.request_path import _request_reader
from wigeonrouter.request_path import _response_reader
from wigeonrouter.request_path import _server

CallerServer = _server.CallerServer
HttpRequest = _messages.HttpRequest
HttpResponse = _messages.HttpResponse
RequestHandler = _handler.RequestHandler
RequestIdTable = _request_ids.RequestIdTable
RequestReader = _request_reader.RequestReader
RequestRecord = _handler.RequestRecord

may_retry = _decisions.may_retry
read_response = _response_reader.read_response
