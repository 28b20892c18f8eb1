"""Traffic between entry VMs: membership, load slices, claims."""
