"""Load balancer for servers whose load shifts in milliseconds."""
