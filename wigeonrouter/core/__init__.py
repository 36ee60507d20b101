"""Immutable records, problem types and hashing shared by all packages."""

from wigeonrouter.core import _hashing
from wigeonrouter.core import _problems as problems  # noqa: F401
from wigeonrouter.core import _records
from wigeonrouter.core import _reload

Address = _records.Address
AttemptResult = _records.AttemptResult
BackendServer = _records.BackendServer
BackendView = _records.BackendView
Crash = _records.Crash
ServerStatement = _records.ServerStatement
DispatchRequest = _records.DispatchRequest
EffectiveService = _records.EffectiveService
Grant = _records.Grant
HealthSettings = _records.HealthSettings
LimitSettings = _records.LimitSettings
LoadReport = _records.LoadReport
MatchSettings = _records.MatchSettings
Member = _records.Member
MemberState = _records.MemberState
Outcome = _records.Outcome
Place = _records.Place
ProblemType = problems.ProblemType
Problem = problems.Problem
ReloadPlan = _reload.ReloadPlan
RetrySettings = _records.RetrySettings
RoutingSettings = _records.RoutingSettings
ServerState = _records.ServerState
TrafficKind = _records.TrafficKind

evolve_view = _records.evolve_view
parse_address = _records.parse_address
plan_reload = _reload.plan_reload
rendezvous_order = _hashing.rendezvous_order
rendezvous_score = _hashing.rendezvous_score
