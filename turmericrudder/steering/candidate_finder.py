"""The targets that can take a request now."""

from .selection import NoTarget, NoTargetReason

__all__ = ["UNTRIED_RETRY_AFTER", "CandidateFinder"]

# Seconds, for a request that only cold targets, or only untried ones, could take.
COLD_RETRY_AFTER = 1.0
UNTRIED_RETRY_AFTER = 0.25
# Seconds; a target may also end its limit before this instance may send to it again.
MAX_LIMITED_RETRY_AFTER = 2.0
# Largest fraction of the rest of a pause that is added for a client.
MAX_PAUSE_SPREAD = 0.5


class CandidateFinder:
    """Finds the candidates for a request among the targets of its service.

    A candidate is usable, was not attempted yet, is not ejected, its limits on the
    request rate allow this instance one more request, and it has responded before or
    has few requests in flight.

    :param members: as for :class:`Balancer`.
    :param random: a ``random.Random``.
    :param ask_health: as for :class:`Balancer`.
    :ivar has_skipped_untried: whether the last call of :meth:`get_some` left out a
        target because it has not responded yet and has enough requests in flight.
    """

    __slots__ = (
        "_ask_health",
        "_catalog",
        "_view_age",
        "_members",
        "_random",
        "_settings",
        "_view_checked_at",
        "has_skipped_untried",
    )

    def __init__(self, settings, catalog, members, random, ask_health):
        self._settings = settings
        self._catalog = catalog
        self._members = members
        self._random = random
        self._ask_health = ask_health
        self._view_age = 0.0
        self._view_checked_at = None
        self.has_skipped_untried = False

    def get_some(self, request, group, order, ranked, others, now):
        """Return some candidates of a group of targets, in the order of the key.

        :param group: a :class:`TargetGroup`.
        :param order: its first targets in the key's order, ``None`` without a key.
        :param ranked: number of candidates from the order.
        :param others: number of candidates that are chosen at random.
        """
        targets = group.targets
        if len(targets) <= ranked + others:
            order, others = targets if order is None else order, 0
            ranked = len(targets)
        elif order is None:
            order, ranked, others = (), 0, ranked + others
        candidates = []
        self.has_skipped_untried = False
        for target in order:
            if self._is_candidate(target, request, now):
                candidates.append(target)
                if len(candidates) == ranked:
                    break
        for _ in range(others):
            target = targets[int(self._random.random() * len(targets))]
            if target not in candidates and self._is_candidate(target, request, now):
                candidates.append(target)
        return candidates

    def get_all(self, request, service_targets, now):
        """Return all candidates of a service, or :class:`NoTarget` without any.

        :returns: lists of the local and the remote ones, in the order of the key.
        """
        if request.affinity_key is not None:
            order = service_targets.get_full_order(request.order_key)
            groups = (order.local, order.remote)
        else:
            groups = (service_targets.local.targets, service_targets.remote.targets)
        allowed = [
            [target for target in targets if self._is_allowed(target, request)]
            for targets in groups
        ]
        if not any(allowed):
            return NoTarget(NoTargetReason.NONE_ALLOWED, request.route.objective)
        reachable = [
            [target for target in targets if now >= target.ejected_until]
            for targets in allowed
        ]
        if not any(reachable):
            reachable = allowed  # If all targets are ejected, that is ignored.
        within_limits = [
            [target for target in targets if self._can_take_request(target, now)]
            for targets in reachable
        ]
        if not any(within_limits):
            return self._make_no_target(
                [*reachable[0], *reachable[1]], [*allowed[0], *allowed[1]], now
            )
        has_waited = request.has_waited_for_trials
        tried = tuple(
            [target for target in targets if target.may_try(has_waited)]
            for targets in within_limits
        )
        if not any(tried):
            return NoTarget(NoTargetReason.ALL_UNTRIED, UNTRIED_RETRY_AFTER)
        return tried

    def _make_no_target(self, reachable, allowed, now):
        """Return :class:`NoTarget` if none of some targets can take a request now.

        :param reachable: those of ``allowed`` that are not ejected, or all if all are.
        """
        if all(target.notices.is_paused(now) for target in reachable):
            ends = [max(t.notices.paused_until, t.ejected_until) for t in allowed]
            wait = min(ends) - now
            # Clients that return together would end the next pause at once.
            wait *= 1.0 + MAX_PAUSE_SPREAD * self._random.random()
            return NoTarget(NoTargetReason.ALL_PAUSED, wait)
        targets = [t for t in reachable if not t.notices.is_paused(now)]
        wait = min(
            target.rate_limiter.get_wait(target.endpoint, self._members, now)
            or COLD_RETRY_AFTER
            for target in targets
        )
        if any(target.rate_limiter.limit is not None for target in targets):
            return NoTarget(
                NoTargetReason.ALL_LIMITED, min(wait, MAX_LIMITED_RETRY_AFTER)
            )
        return NoTarget(NoTargetReason.ALL_COLD, COLD_RETRY_AFTER)

    def _is_candidate(self, target, request, now):
        return (
            now >= target.ejected_until
            and self._is_allowed(target, request)
            and self._can_take_request(target, now)
            and self._is_trial_possible(target, request)
        )

    def _is_trial_possible(self, target, request):
        is_possible = target.may_try(request.has_waited_for_trials)
        self.has_skipped_untried |= not is_possible
        return is_possible

    def _is_allowed(self, target, request):
        target_id = target.endpoint.id
        is_allowed_untried = (
            request.may_use_untried_target and target_id not in request.attempted_ids
        )
        if target_id != request.in_flight_target_id and not is_allowed_untried:
            return False
        return self._catalog.is_usable(target)

    def _can_take_request(self, target, now):
        """Return whether a target's pauses and limits allow one more request now."""
        if target.notices.is_paused(now):
            return False
        if target.rate_limiter.get_wait(target.endpoint, self._members, now) > 0.0:
            return False
        return self.is_within_cold_bound(target, now)

    def is_within_cold_bound(self, target, now):
        """Return whether a target is warm, or one more request is in this part."""
        profile = self._catalog.get_profile(target.endpoint.service)
        if profile is None or profile.cold_rate is None:
            return True
        if now != self._view_checked_at:
            self._view_checked_at = now
            self._view_age = self._members.get_view_age()
        if target.cold.needs_health(self._view_age, now):
            self._ask_health(target)
        if not target.cold.is_limited(self._view_age, now):
            return True
        bounds = self._settings.bounds
        share = self._members.get_cold_share(
            target.endpoint, profile.cold_rate * bounds.cold_overage + bounds.cold_slack
        )
        return target.cold.count_recent(now) < share
