"""Route table and choice of instances."""

from tanagerbend_routing.allowance import BudgetTerms, RetryAllowance
from tanagerbend_routing.balancer import Balancer
from tanagerbend_routing.budget import RetryBudget
from tanagerbend_routing.placement import LoadReport, Placement
from tanagerbend_routing.prefixes import (
    CallerLimits,
    Part,
    PrefixRoute,
    Repeat,
    RouteDifference,
    RoutingConfiguration,
)
from tanagerbend_routing.registry import InstanceRegistry, ListedInstance
from tanagerbend_routing.stats import InstanceStats, Result
from tanagerbend_routing.table import Route, RouteTable, plain_path

__all__ = (
    'Balancer',
    'BudgetTerms',
    'CallerLimits',
    'InstanceRegistry',
    'InstanceStats',
    'ListedInstance',
    'LoadReport',
    'Part',
    'Placement',
    'PrefixRoute',
    'Repeat',
    'Result',
    'RetryAllowance',
    'RetryBudget',
    'Route',
    'RouteDifference',
    'RouteTable',
    'RoutingConfiguration',
    'plain_path',
)
