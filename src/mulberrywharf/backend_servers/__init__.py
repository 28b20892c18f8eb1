"""Access to the backend servers of plain services."""
