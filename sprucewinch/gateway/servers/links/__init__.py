"""Whether this VM reaches the backend servers at all; read `server_links` first."""
