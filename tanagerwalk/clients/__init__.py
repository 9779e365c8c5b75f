"""HTTP clients for the platform services and the backend servers."""
