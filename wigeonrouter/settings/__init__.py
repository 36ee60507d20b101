"""Settings: validation, inheritance and the records built from them."""

from wigeonrouter.settings import _checker
from wigeonrouter.settings import _daemon
from wigeonrouter.settings import _effective
from wigeonrouter.settings import _reference
from wigeonrouter.settings import _rules
from wigeonrouter.settings import _tree

MAX_DOCUMENT_BYTES = _checker.MAX_DOCUMENT_BYTES
MAX_TREE_LEVELS = _rules.MAX_TREE_LEVELS

Anchor = _rules.Anchor
DaemonSettings = _daemon.DaemonSettings
DocumentError = _checker.DocumentError
MissingNode = _tree.MissingNode
RuleError = _rules.RuleError

apply_changes = _tree.apply_changes
apply_in_place = _tree.apply_in_place
build_message = _checker.build_message
build_service = _effective.build_service
build_services = _effective.build_services
check_document = _checker.check_document
check_rules = _rules.check_rules
decode_document = _checker.decode_document
effective_settings = _tree.effective_settings
excerpt_tree = _tree.excerpt_tree
find_node = _tree.find_node
is_address = _checker.is_address
join_path = _tree.join_path
load_daemon_settings = _daemon.load_daemon_settings
locate_error = _rules.locate_error
match_keys = _rules.match_keys
merge_settings = _tree.merge_settings
parse_document = _checker.parse_document
paths_overlap = _tree.paths_overlap
render_reference = _reference.render_reference
split_path = _tree.split_path
undo_change = _tree.undo_change
walk_effective = _tree.walk_effective
walk_services = _tree.walk_services
