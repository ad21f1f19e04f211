"""Stand-ins of the second review: processes, servers, clients, operator."""
