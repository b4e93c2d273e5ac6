"""Client for a key-value store with the etcd v3 JSON interface."""
