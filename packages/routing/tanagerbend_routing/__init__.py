"""Routes, selection of instances and retry budgets."""

import lazy_loader

# Modules are imported on first use of one of their names.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        'allowance': ('RetryBudgetSettings', 'RetryAllowance'),
        'balancer': ('Balancer',),
        'budget': ('RetryBudget',),
        'cold_limit': ('ColdLimit', 'ColdRate', 'ColdTolerance'),
        'evacuation': ('EvacuationOrder', 'Evacuations'),
        'listed_instance': ('ListedInstance',),
        'placement': ('Placement',),
        'prefixes': (
            'CallerLimits',
            'WeightedService',
            'PrefixRoute',
            'Repeat',
            'RouteDifference',
            'RoutingConfiguration',
        ),
        'registry': ('InstanceRegistry',),
        'active_runs': ('Run', 'Runs'),
        'observations': ('LoadReport',),
        'stats': ('InstanceStats', 'Result'),
        'table': ('Route', 'RouteTable', 'plain_path'),
    },
)
