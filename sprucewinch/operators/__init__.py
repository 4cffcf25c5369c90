"""The operators' side: command line calls, the operators' port, changes, reports, explanations.

Owns what operators see and how a change is written safely. Relies on `hall` for what a VM knows and
on `config` for what may be written. Read `port` first, then `writer`.
"""
