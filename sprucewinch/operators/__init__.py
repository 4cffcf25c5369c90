"""The operators' interface: the operators' port, its client, changes, reports and request traces.

The package owns what operators see and how a change is written safely. It relies on `hall` for a
VM's view of the fleet, on `config` for what a configuration may contain and on `steering` for the
shares that a policy would be granted. Start with `port`, then `writer`. `request_trace` is
independent of both and reads only the logs of the routed path.
"""
