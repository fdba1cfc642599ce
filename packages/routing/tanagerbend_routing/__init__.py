"""Route table and choice of instances."""

from tanagerbend_routing.balancer import Balancer
from tanagerbend_routing.budget import RetryBudget
from tanagerbend_routing.stats import InstanceStats, Result
from tanagerbend_routing.table import Route, RouteTable, plain_path

__all__ = (
    'Balancer',
    'InstanceStats',
    'Result',
    'RetryBudget',
    'Route',
    'RouteTable',
    'plain_path',
)
