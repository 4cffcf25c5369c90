"""What backend servers can bear at the moment: their load, their pace and the room of a service.

The package holds the values that the parts of a decision under load hand each other. It contains no
decision: `server_estimate` holds what is expected of one server, `service_room` the room of a
service in a region, `admission_verdict` what becomes of a request that wants room. It relies on
nothing; `servers` fills the values, `requests` decides with them.
"""
