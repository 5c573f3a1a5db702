// Ownership of one range: grant, move, lapse and regrant, with gateways and
// targets that pause, and messages that are late, lost or out of order. Each
// constant stands for one rule of the protocol; false leaves the rule out.
module ownership {
  // A range is granted anew only when its old owner is known to be without it.
  const waitsForOwner: bool
  // A range is released only when no gateway has a request for it in progress.
  const waitsForGateways: bool
  // A target runs a request only under the epoch that it holds.
  const checksFence: bool
  // Leases count from the moment at which they were asked for.
  const countsFromSending: bool
  // A target refuses grants that were sent before those that it has.
  const numbersPushes: bool
  // What a target holds is not known from a push until its confirmation.
  const forgetsOnPush: bool
  // Under a new lease a target refuses grants that were sent before it.
  const refusesOldPushes: bool

  type Request = { id: int, gateway: str, target: str, epoch: int, awaited: bool, excused: bool }
  type Reply = { target: str, sentAt: int, lastPush: int }
  type Push = { target: str, number: int, epoch: int }
  type Table = { version: int, owner: str, epoch: int, serving: bool, changedAt: int }
  type Target = { epoch: int, leaseUntil: int, lastPush: int }
  type Gateway = { table: Table, leaseUntil: int }
  // What the leader knows of a target: its lease, the epoch that it confirmed
  // (0 for none, -1 for not known) and the push that it awaits.
  type Known = { lapsesAt: int, held: int, awaits: int }

  pure val targetNames = Set("t1", "t2")
  pure val gatewayNames = Set("g1", "g2")
  pure val leaseTerm = 3
  pure val maximumRequests = 4

  var now: int
  var table: Table
  var targets: str -> Target
  var gateways: str -> Gateway
  var known: str -> Known
  var renewed: str -> { lapsesAt: int, quiescent: int }
  var replies: Set[Reply]
  var pushes: Set[Push]
  var requests: Set[Request]
  var counters: { push: int, request: int }
  var highestEffect: int
  var faults: { staleEffect: bool, cutRequest: bool }

  pure def min(a: int, b: int): int = if (a < b) a else b
  pure def max(a: int, b: int): int = if (a > b) a else b

  pure val firstTable = { version: 0, owner: "", epoch: 0, serving: false, changedAt: 0 }

  action init = all {
    now' = 0,
    table' = firstTable,
    targets' = targetNames.mapBy(_ => { epoch: 0, leaseUntil: 0, lastPush: 0 }),
    gateways' = gatewayNames.mapBy(_ => { table: firstTable, leaseUntil: 0 }),
    known' = targetNames.mapBy(_ => { lapsesAt: 0, held: 0, awaits: 0 }),
    renewed' = gatewayNames.mapBy(_ => { lapsesAt: 0, quiescent: 0 }),
    replies' = Set(),
    pushes' = Set(),
    requests' = Set(),
    counters' = { push: 0, request: 0 },
    highestEffect' = 0,
    faults' = { staleEffect: false, cutRequest: false },
  }

  def ownsNow(t: str): bool =
    targets.get(t).epoch > 0 and now < targets.get(t).leaseUntil

  def targetLapsed(t: str): bool = now > known.get(t).lapsesAt
  def gatewayLapsed(g: str): bool = now > renewed.get(g).lapsesAt

  // Versions up to this one are finished with at a gateway.
  def quiescentAt(g: str): int = {
    val local = gateways.get(g).table
    val depends = requests.exists(r => and {
      r.gateway == g,
      r.awaited,
      not(local.serving and local.epoch == r.epoch),
    })
    if (depends) local.changedAt - 1 else local.version
  }

  def settled: bool =
    not(waitsForGateways) or gatewayNames.forall(g =>
      gatewayLapsed(g) or renewed.get(g).quiescent >= table.changedAt)

  // The epoch that a target should hold now.
  def wanted(t: str): int =
    if (table.owner == t and (table.serving or not(settled))) table.epoch else 0

  def released: bool = or {
    table.owner == "",
    not(waitsForOwner),
    and {
      settled,
      or {
        targetLapsed(table.owner),
        known.get(table.owner).held == 0,
      },
    },
  }

  action unchangedData = all {
    table' = table, targets' = targets, gateways' = gateways, known' = known,
    renewed' = renewed, replies' = replies, pushes' = pushes,
    requests' = requests, counters' = counters,
    highestEffect' = highestEffect, faults' = faults,
  }

  action tick = all { now' = now + 1, unchangedData }

  // The leader takes in an announcement; the reply travels.
  action announce(t: str): bool = all {
    val before = known.get(t)
    known' = known.set(t, {
      ...before,
      lapsesAt: now + leaseTerm,
      held: if (targetLapsed(t)) -1 else before.held,
    }),
    replies' = replies.union(Set({ target: t, sentAt: now, lastPush: counters.push })),
    now' = now, table' = table, targets' = targets, gateways' = gateways,
    renewed' = renewed, pushes' = pushes, requests' = requests,
    counters' = counters, highestEffect' = highestEffect, faults' = faults,
  }

  action takeReply = all {
    replies.size() > 0,
    nondet reply = oneOf(replies)
    val target = targets.get(reply.target)
    val lapsed = now >= target.leaseUntil
    val from = if (countsFromSending) reply.sentAt else now
    all {
      replies' = replies.exclude(Set(reply)),
      targets' = targets.set(reply.target, {
        ...target,
        epoch: if (lapsed) 0 else target.epoch,
        leaseUntil: max(target.leaseUntil, from + leaseTerm),
        lastPush: if (lapsed and refusesOldPushes) max(target.lastPush, reply.lastPush) else target.lastPush,
      }),
      requests' = requests.map(r =>
        if (r.target == reply.target and lapsed) { ...r, excused: true } else r),
      now' = now, table' = table, gateways' = gateways, known' = known,
      renewed' = renewed, pushes' = pushes,
      counters' = counters, highestEffect' = highestEffect, faults' = faults,
    }
  }

  action push(t: str): bool = all {
    not(targetLapsed(t)),
    known.get(t).held != wanted(t),
    val number = counters.push + 1
    all {
      counters' = { ...counters, push: number },
      pushes' = pushes.union(Set({ target: t, number: number, epoch: wanted(t) })),
      known' = known.set(t, {
        ...known.get(t),
        awaits: number,
        held: if (forgetsOnPush) -1 else known.get(t).held,
      }),
      now' = now, table' = table, targets' = targets, gateways' = gateways,
      renewed' = renewed, replies' = replies, requests' = requests,
      highestEffect' = highestEffect, faults' = faults,
    }
  }

  // A target takes over grants; its answer may be lost.
  action takePush(answered: bool): bool = all {
    pushes.size() > 0,
    nondet sent = oneOf(pushes)
    val target = targets.get(sent.target)
    val accepts = not(numbersPushes) or sent.number > target.lastPush
    val confirms = answered and accepts and known.get(sent.target).awaits == sent.number
    all {
      pushes' = pushes.exclude(Set(sent)),
      targets' = if (accepts) targets.set(sent.target, {
        ...target,
        epoch: if (now < target.leaseUntil) sent.epoch else 0,
        lastPush: max(target.lastPush, sent.number),
      }) else targets,
      known' = if (confirms)
        known.set(sent.target, { ...known.get(sent.target), held: sent.epoch, awaits: 0 })
      else known,
      now' = now, table' = table, gateways' = gateways, renewed' = renewed,
      replies' = replies, requests' = requests, counters' = counters,
      highestEffect' = highestEffect, faults' = faults,
    }
  }

  action changeTable(changed: Table): bool = all {
    table' = changed,
    now' = now, targets' = targets, gateways' = gateways, known' = known,
    renewed' = renewed, replies' = replies, pushes' = pushes,
    counters' = counters, highestEffect' = highestEffect, faults' = faults,
  }

  action stop = all {
    table.serving,
    changeTable({ ...table, version: table.version + 1, serving: false, changedAt: table.version + 1 }),
    requests' = requests,
  }

  // Requests of gateways that were given up on may be refused from now on.
  action grant(t: str): bool = all {
    not(table.serving),
    not(targetLapsed(t)),
    released,
    val version = table.version + 1
    changeTable({ version: version, owner: t, epoch: version, serving: true, changedAt: version }),
    requests' = requests.map(r => { ...r, excused: r.excused or gatewayLapsed(r.gateway) or targetLapsed(r.target) }),
  }

  // A gateway asks and is answered, or the answer is lost.
  action renew(g: str, answered: bool): bool = all {
    renewed' = renewed.set(g, { lapsesAt: now + leaseTerm, quiescent: quiescentAt(g) }),
    gateways' = if (answered)
      gateways.set(g, { table: table, leaseUntil: max(gateways.get(g).leaseUntil, now + leaseTerm) })
    else gateways,
    requests' = requests.map(r =>
      if (r.gateway == g and gatewayLapsed(g)) { ...r, excused: true } else r),
    now' = now, table' = table, targets' = targets, known' = known,
    replies' = replies, pushes' = pushes, counters' = counters,
    highestEffect' = highestEffect, faults' = faults,
  }

  action send(g: str): bool = all {
    val local = gateways.get(g)
    all {
      requests.size() < maximumRequests,
      local.table.serving,
      now < local.leaseUntil,
      requests' = requests.union(Set({
        id: counters.request + 1,
        gateway: g,
        target: local.table.owner,
        epoch: local.table.epoch,
        awaited: true,
        excused: not(ownsNow(local.table.owner)) or targets.get(local.table.owner).epoch != local.table.epoch,
      })),
    },
    counters' = { ...counters, request: counters.request + 1 },
    now' = now, table' = table, targets' = targets, gateways' = gateways,
    known' = known, renewed' = renewed, replies' = replies, pushes' = pushes,
    highestEffect' = highestEffect, faults' = faults,
  }

  // A gateway stops waiting; the request may still arrive.
  action abandon = all {
    requests.exists(r => r.awaited),
    nondet request = oneOf(requests.filter(r => r.awaited))
    requests' = requests.exclude(Set(request)).union(Set({ ...request, awaited: false })),
    now' = now, table' = table, targets' = targets, gateways' = gateways,
    known' = known, renewed' = renewed, replies' = replies, pushes' = pushes,
    counters' = counters, highestEffect' = highestEffect, faults' = faults,
  }

  action arrive = all {
    requests.size() > 0,
    nondet request = oneOf(requests)
    val target = targets.get(request.target)
    val runs = not(checksFence) or (ownsNow(request.target) and target.epoch == request.epoch)
    val cut = not(runs) and request.awaited and not(request.excused) and now < target.leaseUntil
    all {
      requests' = requests.exclude(Set(request)),
      highestEffect' = if (runs) max(highestEffect, request.epoch) else highestEffect,
      faults' = {
        staleEffect: faults.staleEffect or (runs and request.epoch < highestEffect),
        cutRequest: faults.cutRequest or cut,
      },
      now' = now, table' = table, targets' = targets, gateways' = gateways,
      known' = known, renewed' = renewed, replies' = replies, pushes' = pushes,
      counters' = counters,
    }
  }

  action step = {
    nondet t = oneOf(targetNames)
    nondet g = oneOf(gatewayNames)
    nondet answered = oneOf(Set(true, false))
    any {
      tick,
      announce(t),
      takeReply,
      push(t),
      takePush(answered),
      takePush(true),
      stop,
      grant(t),
      renew(g, answered),
      renew(g, true),
      send(g),
      abandon,
      arrive,
    }
  }

  // Steers a search towards grants that outlive the lease they were sent under:
  // those of the owner before are still under way when the next one is granted.
  action initWithOldPush = all {
    now' = 2,
    table' = { version: 3, owner: "t2", epoch: 3, serving: true, changedAt: 3 },
    targets' = targetNames.mapBy(t =>
      if (t == "t2") { epoch: 0, leaseUntil: 5, lastPush: 0 }
      else { epoch: 0, leaseUntil: 1, lastPush: 0 }),
    gateways' = gatewayNames.mapBy(_ => { table: firstTable, leaseUntil: 0 }),
    known' = targetNames.mapBy(t =>
      if (t == "t2") { lapsesAt: 5, held: -1, awaits: 2 }
      else { lapsesAt: 1, held: -1, awaits: 1 }),
    renewed' = gatewayNames.mapBy(_ => { lapsesAt: 0, quiescent: 0 }),
    replies' = Set(),
    pushes' = Set({ target: "t1", number: 1, epoch: 1 }, { target: "t2", number: 2, epoch: 3 }),
    requests' = Set(),
    counters' = { push: 2, request: 0 },
    highestEffect' = 0,
    faults' = { staleEffect: false, cutRequest: false },
  }

  // The same steps without gateways and requests.
  action stepOfTargets = {
    nondet t = oneOf(targetNames)
    any {
      tick,
      announce(t),
      takeReply,
      push(t),
      takePush(true),
      stop,
      grant(t),
    }
  }

  // No two targets may act on a grant at one time.
  val singleOwner = targetNames.filter(t => ownsNow(t)).size() <= 1
  // No effect under an old epoch after one under a newer.
  val noStaleEffect = not(faults.staleEffect)
  // A move refuses no request of a gateway and target that kept their leases.
  val noCutRequest = not(faults.cutRequest)

  // What the runs reach.
  val moved = table.epoch > 2
  val ranAfterMove = highestEffect > 2
}

module ownershipWhole {
  import ownership(waitsForOwner = true, waitsForGateways = true, checksFence = true, countsFromSending = true, numbersPushes = true, forgetsOnPush = true, refusesOldPushes = true).*
}
module ownershipWithoutOwnerWait {
  import ownership(waitsForOwner = false, waitsForGateways = true, checksFence = true, countsFromSending = true, numbersPushes = true, forgetsOnPush = true, refusesOldPushes = true).*
}
module ownershipWithoutGatewayWait {
  import ownership(waitsForOwner = true, waitsForGateways = false, checksFence = true, countsFromSending = true, numbersPushes = true, forgetsOnPush = true, refusesOldPushes = true).*
}
module ownershipWithoutFence {
  import ownership(waitsForOwner = true, waitsForGateways = true, checksFence = false, countsFromSending = true, numbersPushes = true, forgetsOnPush = true, refusesOldPushes = true).*
}
module ownershipWithLateCount {
  import ownership(waitsForOwner = true, waitsForGateways = true, checksFence = true, countsFromSending = false, numbersPushes = true, forgetsOnPush = true, refusesOldPushes = true).*
}
module ownershipWithoutPushNumbers {
  import ownership(waitsForOwner = true, waitsForGateways = true, checksFence = true, countsFromSending = true, numbersPushes = false, forgetsOnPush = true, refusesOldPushes = true).*
}
module ownershipWithRememberedGrants {
  import ownership(waitsForOwner = true, waitsForGateways = true, checksFence = true, countsFromSending = true, numbersPushes = true, forgetsOnPush = false, refusesOldPushes = true).*
}
module ownershipWithOldPushes {
  import ownership(waitsForOwner = true, waitsForGateways = true, checksFence = true, countsFromSending = true, numbersPushes = true, forgetsOnPush = true, refusesOldPushes = false).*
}
