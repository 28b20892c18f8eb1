"""Authority over engines: lease, fuse, order records, reconciliation."""
