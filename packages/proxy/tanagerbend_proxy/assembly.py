"""The parts of one daemon, wired to each other."""

import random
from collections.abc import Callable
from typing import Final

import attrs

from tanagerbend_admission import ObjectiveQueue
from tanagerbend_metrics import Recorder
from tanagerbend_proxy.crash_news import CrashNews, make_news, make_suspicions
from tanagerbend_proxy.decisions import DecisionLog
from tanagerbend_proxy.delivery import DeliveryLog
from tanagerbend_proxy.entry import Entry
from tanagerbend_proxy.exchange import make_session
from tanagerbend_proxy.following import Follower, ItemService
from tanagerbend_proxy.endpoint import Endpoint
from tanagerbend_proxy.front import CallerHandler, PeerHandler
from tanagerbend_proxy.headers import HeaderNames
from tanagerbend_proxy.knowledge import Knowledge
from tanagerbend_proxy.lifetime import Lifetime
from tanagerbend_proxy.link_use import ANSWERS, PLACED, LinkUse
from tanagerbend_proxy.owner import Owner
from tanagerbend_proxy.peers import make_peers
from tanagerbend_proxy.staleness import Staleness
from tanagerbend_proxy.terms import Terms
from tanagerbend_proxy.uplink import Uplink
from tanagerbend_routing import Placement
from tanagerbend_timer import SystemTimer

# Idle connections to the instance; below the ten seconds after which
# instances of today's deployments close them.
INSTANCE_KEEP_SECONDS: Final = 4.0
PEER_KEEP_SECONDS: Final = 30.0
# Slots of the instance until its entry has been read.
FIRST_SLOTS: Final = 4


@attrs.define
class Parts:
    """The parts of one daemon."""

    terms: Terms
    recorder: Recorder
    log: DecisionLog
    knowledge: Knowledge
    follower: Follower
    owner: Owner
    entry: Entry
    callers: Endpoint
    peers: Endpoint
    link: LinkUse
    lifetime: Lifetime
    news: CrashNews
    is_stopping: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether this daemon takes requests."""
        return not self.is_stopping and self.knowledge.configuration is not None

    def adopt_terms(self, terms: Terms) -> None:
        """Take new bounds; addresses stay as long as the process runs."""
        is_changed = terms != self.terms
        self.terms = terms
        self.owner.repeats.allowance.terms = terms.budget
        self.follower.staleness.bound = terms.apply_seconds
        self.log.write('settings_reloaded', is_changed=is_changed)


def assemble(
    terms: Terms,
    names: HeaderNames,
    connect: Callable[[Recorder], ItemService],
) -> Parts:
    """Wire the parts of a daemon; needs a running event loop.

    ``connect`` returns the client of the platform's service.
    """
    recorder = Recorder(SystemTimer())
    chance = random.Random()  # noqa: S311
    log = DecisionLog(terms.host, recorder)
    knowledge = Knowledge(recorder, log)
    link = LinkUse(recorder)
    uplink = Uplink(recorder.timer, terms.link)
    session = make_session(PEER_KEEP_SECONDS, 0)
    news = make_news(
        terms,
        make_suspicions(recorder, names, log),
        knowledge.registry,
        session,
        chance,
    )
    owner = Owner(
        terms.instance_address,
        make_session(INSTANCE_KEEP_SECONDS, 0),
        ObjectiveQueue(recorder.timer, FIRST_SLOTS),
        names,
        recorder,
        knowledge.registry,
        uplink,
        terms.budget,
        news.suspicions,
    )
    entry = Entry(
        terms,
        knowledge,
        Placement(terms.failure_domain, chance, recorder),
        owner,
        session,
        names,
        recorder,
        log,
        chance,
        link,
    )
    follower = Follower(
        connect(recorder),
        knowledge,
        make_peers(terms, recorder, session),
        recorder,
        chance,
        Staleness(knowledge, link, terms.apply_seconds),
    )
    lifetime = Lifetime(recorder.timer)
    endpoint = CallerHandler(entry, names, recorder, terms.service, lifetime)
    callers = Endpoint(
        endpoint.handle,
        recorder,
        uplink,
        lifetime,
        DeliveryLog(ANSWERS, recorder, log),
    )
    handler = PeerHandler(owner, follower, names, news)
    peers = Endpoint(
        handler.handle,
        recorder,
        uplink,
        lifetime,
        DeliveryLog(PLACED, recorder, log),
    )
    link.count_unsent = lambda: (
        callers.unsent + peers.unsent + int(uplink.announced)
    )
    return Parts(
        terms,
        recorder,
        log,
        knowledge,
        follower,
        owner,
        entry,
        callers,
        peers,
        link,
        lifetime,
        news,
    )
