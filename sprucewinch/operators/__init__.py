"""The operators' side: command line calls, the operators' port, changes, reports, explanations.

Owns what operators see and how a change is written safely. Relies on `hall` for what a VM knows, on
`config` for what may be written and on `steering` for what would be granted. Read `port` first,
then `writer`; `story` stands apart and reads only the logs of the routed path.
"""
