"""Settings: checking, inheritance and the records built from them."""

from wigeonrouter.settings import _checker
from wigeonrouter.settings import _daemon
from wigeonrouter.settings import _effective
from wigeonrouter.settings import _tree

DaemonSettings = _daemon.DaemonSettings
DocumentError = _checker.DocumentError
MissingNode = _tree.MissingNode

apply_changes = _tree.apply_changes
apply_in_place = _tree.apply_in_place
build_service = _effective.build_service
build_services = _effective.build_services
check_document = _checker.check_document
effective_settings = _tree.effective_settings
find_node = _tree.find_node
join_path = _tree.join_path
load_daemon_settings = _daemon.load_daemon_settings
parse_document = _checker.parse_document
paths_overlap = _tree.paths_overlap
split_path = _tree.split_path
undo_change = _tree.undo_change
walk_services = _tree.walk_services
