"""Asks a node where a request would go now, and describes its response."""


def render(media):
    """Yield lines that describe an explanation.

    Args:
      media: the decoded response of a node, a dict.
    """
    yield f"node {media['node']}, {media['host']}{media['path']}"
    if media["rejection"]:
        yield f"rejected: {_rejection(media['rejection'])}"
    route = media["route"]
    if not route:
        return
    yield (
        f"route {route['name']}: prefix {route['prefix']}, priority"
        f" {route['priority']}, timeout {_ms(route['timeout'])}, target"
        f" latency {_ms(route['target_latency'])}"
    )
    yield from _render_key(media)
    if media["home_regions"] is not None:
        yield f"home regions: {', '.join(media['home_regions']) or 'none'}"
    if media["forwarded_to"]:
        yield f"passed on to: {', '.join(media['forwarded_to'])}"
    if media["rejection"] and media["services"]:
        yield "if it were not rejected:"
    for service in media["services"]:
        yield from _render_service(service)


def _render_key(media):
    if not media["key_needed"]:
        yield "no key needed"
    else:
        yield f"key needed; without it: {_rejection(media['without_key'])}"
    tenant, quota = media["tenant"], media["quota"]
    if tenant:
        yield f"tenant {tenant['name']}: priority {tenant['priority']}"
    if quota:
        total = quota["region_total"]
        yield (
            f"quota: {quota['rate']:g} requests/s, burst {quota['burst']:g};"
            f" tokens here {quota['tokens']}, total of the region"
            f" {'unknown' if total is None else total}"
        )
        refused = "; the hub has refused lately" if quota["refused"] else ""
        yield f"  {quota['outcome']}{refused}"


def _render_service(service):
    yield f"service {service['name']}: share {service['share']:.0%}"
    yield f"  queue: {service['queue_length']}, ahead {service['ahead']}"
    if service["rejection"]:
        yield f"  rejected: {_rejection(service['rejection'])}"
    elif service["wait_reason"]:
        yield (
            f"  waits: {service['wait_reason']} (utility of waiting"
            f" {service['utility_of_waiting']:.2f})"
        )
    choice = service["choice"]
    if choice:
        yield (
            f"  sent to {choice['instance']} in {choice['region']}/"
            f"{choice['failure_domain']} ({choice['locality']}): expected"
            f" latency {_ms(choice['expected_latency'])}, utility"
            f" {choice['expected_utility']:.2f}"
        )
    if service["unprobed"]:
        yield f"  probed first: {service['unprobed']} servers"
    for locality, share in service["spill_over"].items():
        yield f"  may leave to {locality}: {share:.0%}"
    for domain in service["domains"]:
        yield f"  {_describe_domain(domain)}"


def _describe_domain(domain):
    counts = [f"{domain['usable']} usable", f"{domain['cold']} cold"]
    counts += [
        f"{count} {reason}" for reason, count in domain["excluded"].items()
    ]
    outside = "" if domain["allowed"] else " (no home region)"
    place = f"{domain['region']}/{domain['failure_domain']}"
    return f"{place}{outside}: {', '.join(counts)}"


def _rejection(rejection):
    text = f"{rejection['status']} {rejection['problem']}"
    if rejection["retry_after"] is not None:
        text += f", Retry-After about {rejection['retry_after']:.2f} s"
    if rejection["detail"]:
        text += f" ({rejection['detail']})"
    return text


def _ms(seconds):
    return f"{seconds * 1000:.0f} ms"
