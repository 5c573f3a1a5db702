// Versions of the bundle: operators who race with equal version numbers, send
// again after losing the answer and send old versions; gateways that lose
// messages and restart. Each constant stands for one rule.
module bundle {
  // The version in force is only replaced by a higher one.
  const refusesLower: bool
  // The version in force under another digest is a conflict.
  const comparesDigest: bool
  // The version and digest in force are answered as the first time.
  const answersResend: bool
  // A gateway takes only the reply to its latest renewal.
  const dropsLateReplies: bool
  // In force means confirmed by every gateway that has a lease.
  const waitsForGateways: bool

  type Bundle = { version: int, digest: int }
  type Reply = { gateway: str, sentAt: int, renewal: int, bundle: Bundle }
  type Gateway = { bundle: Bundle, leaseUntil: int, renewal: int }
  type Answer = { bundle: Bundle, accepted: bool }

  pure val gatewayNames = Set("g1", "g2")
  pure val leaseTerm = 3
  pure val versions = 1.to(3)
  pure val digests = 1.to(2)
  pure val none = { version: 0, digest: 0 }

  var now: int
  var inForce: Bundle
  var gateways: str -> Gateway
  var seen: str -> { lapsesAt: int, version: int }
  var replies: Set[Reply]
  var answers: Set[Answer]
  var sent: Set[Bundle]
  var claimed: int
  var faults: { reverted: bool, wrongConflict: bool }

  pure def max(a: int, b: int): int = if (a > b) a else b

  action init = all {
    now' = 0,
    inForce' = none,
    gateways' = gatewayNames.mapBy(_ => { bundle: none, leaseUntil: 0, renewal: 0 }),
    seen' = gatewayNames.mapBy(_ => { lapsesAt: 0, version: 0 }),
    replies' = Set(),
    answers' = Set(),
    sent' = Set(),
    claimed' = 0,
    faults' = { reverted: false, wrongConflict: false },
  }

  def accepts(bundle: Bundle): bool = or {
    bundle.version > inForce.version,
    not(refusesLower) and bundle.version < inForce.version,
    not(comparesDigest) and bundle.version == inForce.version,
  }

  // An operator sends a bundle, again or for the first time.
  action roll(bundle: Bundle): bool = all {
    val fresh = accepts(bundle)
    val same = bundle == inForce
    val accepted = fresh or (same and answersResend)
    all {
      inForce' = if (fresh) bundle else inForce,
      answers' = answers.union(Set({ bundle: bundle, accepted: accepted })),
      faults' = {
        reverted: faults.reverted or (fresh and bundle.version < inForce.version),
        wrongConflict: faults.wrongConflict or (same and not(accepted)),
      },
    },
    sent' = sent.union(Set(bundle)),
    now' = now, gateways' = gateways, seen' = seen, replies' = replies, claimed' = claimed,
  }

  // A gateway renews; the leader notes what it says and its reply travels.
  action renew(g: str): bool = all {
    val gateway = gateways.get(g)
    val renewal = gateway.renewal + 1
    all {
      gateways' = gateways.set(g, { ...gateway, renewal: renewal }),
      seen' = seen.set(g, { lapsesAt: now + leaseTerm, version: gateway.bundle.version }),
      replies' = replies.union(Set({ gateway: g, sentAt: now, renewal: renewal, bundle: inForce })),
    },
    now' = now, inForce' = inForce, answers' = answers, sent' = sent,
    claimed' = claimed, faults' = faults,
  }

  action takeReply = all {
    replies.size() > 0,
    nondet reply = oneOf(replies)
    val gateway = gateways.get(reply.gateway)
    val takes = not(dropsLateReplies) or reply.renewal == gateway.renewal
    all {
      replies' = replies.exclude(Set(reply)),
      gateways' = if (takes) gateways.set(reply.gateway, {
        ...gateway,
        bundle: reply.bundle,
        leaseUntil: max(gateway.leaseUntil, reply.sentAt + leaseTerm),
      }) else gateways,
      now' = now, inForce' = inForce, seen' = seen, answers' = answers,
      sent' = sent, claimed' = claimed, faults' = faults,
    }
  }

  action restart(g: str): bool = all {
    gateways' = gateways.set(g, { ...gateways.get(g), bundle: none, leaseUntil: 0 }),
    now' = now, inForce' = inForce, seen' = seen, replies' = replies,
    answers' = answers, sent' = sent, claimed' = claimed, faults' = faults,
  }

  // Operators are told that the bundle is in force everywhere.
  action claim = all {
    not(waitsForGateways) or gatewayNames.forall(g =>
      now > seen.get(g).lapsesAt or seen.get(g).version >= inForce.version),
    claimed' = inForce.version,
    now' = now, inForce' = inForce, gateways' = gateways, seen' = seen,
    replies' = replies, answers' = answers, sent' = sent, faults' = faults,
  }

  action tick = all {
    now' = now + 1,
    inForce' = inForce, gateways' = gateways, seen' = seen, replies' = replies,
    answers' = answers, sent' = sent, claimed' = claimed, faults' = faults,
  }

  action step = {
    nondet g = oneOf(gatewayNames)
    nondet version = oneOf(versions)
    nondet digest = oneOf(digests)
    any {
      roll({ version: version, digest: digest }),
      renew(g),
      takeReply,
      restart(g),
      claim,
      tick,
    }
  }

  // One version is accepted under one digest.
  val oneDigest = versions.forall(v =>
    answers.filter(a => a.accepted and a.bundle.version == v)
      .map(a => a.bundle.digest).size() <= 1)
  val neverReverts = not(faults.reverted)
  val resendAnsweredAlike = not(faults.wrongConflict)
  // No gateway with a lease routes by an older bundle than is claimed in force.
  val inForceEverywhere = gatewayNames.forall(g =>
    now >= gateways.get(g).leaseUntil or gateways.get(g).bundle.version >= claimed)

  val raced = versions.exists(v => sent.filter(b => b.version == v).size() > 1)
  val claimedSecond = claimed > 1
}

module bundleWhole {
  import bundle(refusesLower = true, comparesDigest = true, answersResend = true, dropsLateReplies = true, waitsForGateways = true).*
}
module bundleWithoutOrder {
  import bundle(refusesLower = false, comparesDigest = true, answersResend = true, dropsLateReplies = true, waitsForGateways = true).*
}
module bundleWithoutDigest {
  import bundle(refusesLower = true, comparesDigest = false, answersResend = true, dropsLateReplies = true, waitsForGateways = true).*
}
module bundleWithoutResend {
  import bundle(refusesLower = true, comparesDigest = true, answersResend = false, dropsLateReplies = true, waitsForGateways = true).*
}
module bundleWithLateReplies {
  import bundle(refusesLower = true, comparesDigest = true, answersResend = true, dropsLateReplies = false, waitsForGateways = true).*
}
module bundleWithoutWait {
  import bundle(refusesLower = true, comparesDigest = true, answersResend = true, dropsLateReplies = true, waitsForGateways = false).*
}
