"""Route table and choice of instances."""

from tanagerbend_routing.balancer import Balancer
from tanagerbend_routing.table import Route, RouteTable

__all__ = ('Balancer', 'Route', 'RouteTable')
