"""Messages between entry VMs on the own interface: exchange of state and forwarded requests.

This package owns the peer protocol (`peer.proto`; `peer_pb2` and `peer_grpc` are generated from it)
and the table of members. It relies on grpclib. Read `peer.proto` first, then `exchange`.
"""
