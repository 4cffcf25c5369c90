"""Messages between entry VMs on the own interface: exchange of state, requests handed on.

Owns the peer protocol (`peer.proto`; `peer_pb2` and `peer_grpc` are generated from it) and the list
of members. Relies on grpclib. Read `peer.proto` first, then `exchange`.
"""
