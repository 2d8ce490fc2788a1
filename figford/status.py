"""The state of an entry, as gauges and as plain data for operators."""

import datetime

from figford import gateway as gateways
from figford import groups
from figford import links
from figford import membership
from figford import node as nodes


def gauges(
    node: nodes.Node,
    gateway: gateways.Gateway,
    hub: links.LinkHub,
    now: datetime.timedelta,
) -> dict[str, float]:
    """Returns the values of an entry's gauges by name."""
    dispatcher = gateway.dispatcher
    return {
        "ready": node.is_ready(now),
        "planner": node.planning.holds(now),
        "leader": node.is_leader,
        "configuration_version": node.follower.version,
        "complete_groups": len(node.group_table.by_group(now)),
        "fresh_upstreams": len(node.upstreams.fresh(now)),
        "live_entries": node.live_entries(now),
        "in_progress": gateway.in_progress,
        "waiting": dispatcher.queued,
        "open_breakers": len(dispatcher.breakers.open_addresses()),
        "pauses": node.pauses,
        "answers_refused": gateway.buffers.refused,
        "link_bytes_sent": hub.bytes_sent,
        "link_bytes_received": hub.bytes_received,
    }


def describe(
    node: nodes.Node,
    gateway: gateways.Gateway,
    hub: links.LinkHub,
    now: datetime.timedelta,
) -> dict:
    """Returns the state of an entry, its peers and upstreams, for JSON."""
    own_control = node.control
    return {
        "instance": node.me.instance,
        "data_centre": node.me.data_centre,
        "incarnation": node.me.incarnation,
        **gauges(node, gateway, hub, now),
        "voters": own_control.agreement.voters if own_control else [],
        "entries": [
            _entry_row(known, node.peers.is_live(name, now))
            for name, known in sorted(node.peers.by_instance.items())
        ],
        "groups": [
            _group_row(view)
            for _, view in sorted(node.group_table.by_group(now).items())
        ],
        "upstreams": [
            _upstream_row(known, node.upstreams.is_fresh(name, now))
            for name, known in sorted(node.upstreams.by_name.items())
        ],
    }


def _entry_row(known: membership.KnownPeer, live: bool) -> dict:
    peer = known.peer
    return {
        "instance": peer.instance,
        "data_centre": peer.data_centre,
        "live": live,
        "version": peer.version,
        "voter": peer.voter,
    }


def _group_row(view: groups.GroupView) -> dict:
    return {
        "group": view.group,
        "fence": view.fence,
        "state": view.state.value,
        "members": list(view.member_names),
        "address": view.address,
    }


def _upstream_row(known: membership.KnownUpstream, fresh: bool) -> dict:
    announcement = known.announcement
    seat = announcement.seat
    return {
        "upstream": announcement.upstream,
        "fabric_domain": announcement.fabric_domain,
        "kind": announcement.kind.value,
        "state": announcement.state.value,
        "group": seat.group if seat else None,
        "fresh": fresh,
    }
