"""Adapter between the load balancer and the users' platform.

The modules translate the platform's names, formats and protocols into the
load balancer's records and back. They make no load-balancing decisions.
"""
