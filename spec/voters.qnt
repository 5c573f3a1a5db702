// Repair of the voters: replicas are lost with their disks, spares are made
// voters one at a time, and a second one may be lost right after a repair.
// Each constant stands for one rule.
module voters {
  // The change before must be committed before the next one begins.
  const waitsForCommit: bool
  // A change adds or removes one voter.
  const changesOne: bool
  // A replica whose disk was wiped returns under a new identity.
  const renamesWiped: bool
  // A leader counts copies only of entries of its own term.
  const commitsOwnTerm: bool

  // A change of the voters where `voters` is not empty.
  type Entry = { term: int, id: int, voters: Set[str] }
  type Replica = { log: List[Entry], term: int, running: bool }

  pure val names = Set("a", "b", "c", "d")
  pure val founders = Set("a", "b", "c")
  pure val maximumTerm = 4
  pure val maximumLog = 5

  var replicas: str -> Replica
  // Identities that were lost with their disks and do not return.
  var lost: Set[str]
  var leader: str
  var term: int
  var nextId: int
  // Identities of the entries whose writers were answered.
  var acknowledged: Set[int]
  var repairs: int
  // Leaders by term, to see whether two share one.
  var elected: Set[{ leader: str, term: int }]

  action init = all {
    replicas' = names.mapBy(_ => { log: [], term: 0, running: true }),
    lost' = Set(),
    leader' = "",
    term' = 0,
    nextId' = 1,
    acknowledged' = Set(),
    repairs' = 0,
    elected' = Set(),
  }

  pure def votersOf(log: List[Entry]): Set[str] =
    log.foldl(founders, (before, entry) =>
      if (entry.voters == Set()) before else entry.voters)

  pure def lastTerm(log: List[Entry]): int =
    if (log.length() == 0) 0 else log[log.length() - 1].term

  pure def isMajority(part: Set[str], whole: Set[str]): bool =
    part.intersect(whole).size() * 2 > whole.size()

  pure def upToDate(candidate: List[Entry], other: List[Entry]): bool = or {
    lastTerm(candidate) > lastTerm(other),
    lastTerm(candidate) == lastTerm(other) and candidate.length() >= other.length(),
  }

  pure def entriesOf(log: List[Entry], count: int): Set[int] =
    log.slice(0, count).foldl(Set(), (ids, entry) => ids.union(Set(entry.id)))

  // Entries of the leader's log that a majority of its voters has stored.
  def committedLength: int = {
    val log = replicas.get(leader).log
    val whole = votersOf(log)
    0.to(log.length()).filter(n => or {
      n == 0,
      and {
        isMajority(whole.filter(r => and {
          replicas.get(r).log.length() >= n,
          replicas.get(r).log[n - 1].id == log[n - 1].id,
        }), whole),
        not(commitsOwnTerm) or log[n - 1].term == term,
      },
    }).fold(0, (a, b) => if (a > b) a else b)
  }

  def leads: bool = and {
    leader != "",
    replicas.get(leader).running,
    replicas.get(leader).term == term,
  }

  action elect(candidate: str, votes: Set[str]): bool = all {
    val log = replicas.get(candidate).log
    val whole = votersOf(log)
    all {
      whole.contains(candidate),
      isMajority(votes.union(Set(candidate)), whole),
      votes.union(Set(candidate)).forall(r => and {
        whole.contains(r),
        replicas.get(r).running,
        upToDate(log, replicas.get(r).log),
      }),
      // A term above those that the voters know; another majority may know more.
      val newTerm = votes.union(Set(candidate)).fold(0, (highest, r) =>
        if (replicas.get(r).term > highest) replicas.get(r).term else highest) + 1
      all {
        newTerm <= maximumTerm,
        replicas' = replicas.keys().mapBy(r =>
          if (r == candidate) { ...replicas.get(r), term: newTerm, log: log.append({ term: newTerm, id: nextId, voters: Set() }) }
          else if (votes.contains(r)) { ...replicas.get(r), term: newTerm }
          else replicas.get(r)),
        leader' = candidate,
        term' = newTerm,
        elected' = elected.union(Set({ leader: candidate, term: newTerm })),
      },
    },
    nextId' = nextId + 1,
    lost' = lost, acknowledged' = acknowledged, repairs' = repairs,
  }

  action extendLog(change: Set[str]): bool = all {
    leads,
    replicas.get(leader).log.length() < maximumLog,
    replicas' = replicas.set(leader, {
      ...replicas.get(leader),
      log: replicas.get(leader).log.append({ term: term, id: nextId, voters: change }),
    }),
    nextId' = nextId + 1,
    lost' = lost, leader' = leader, term' = term, acknowledged' = acknowledged,
    elected' = elected,
  }

  // The copy may stop short of the end of the leader's log.
  action replicate(r: str, count: int): bool = all {
    leads,
    replicas.get(leader).log.length() > 0,
    r != leader,
    replicas.get(r).running,
    replicas.get(r).term <= term,
    val log = replicas.get(leader).log
    val copied = log.slice(0, if (count < log.length()) count else log.length())
    val own = replicas.get(r).log
    val last = copied.length() - 1
    val isPrefix = last < own.length() and own[last].id == copied[last].id
    replicas' = replicas.set(r, { ...replicas.get(r), term: term, log: if (isPrefix) own else copied }),
    lost' = lost, leader' = leader, term' = term, nextId' = nextId,
    acknowledged' = acknowledged, repairs' = repairs, elected' = elected,
  }

  action acknowledge = all {
    leads,
    acknowledged' = acknowledged.union(entriesOf(replicas.get(leader).log, committedLength)),
    replicas' = replicas, lost' = lost, leader' = leader, term' = term,
    nextId' = nextId, repairs' = repairs, elected' = elected,
  }

  action changeVoters(added: Set[str], removed: Set[str]): bool = all {
    leads,
    val log = replicas.get(leader).log
    val before = votersOf(log)
    val after = before.union(added).exclude(removed)
    val changed = after.exclude(before).size() + before.exclude(after).size()
    all {
      after != before,
      after.size() >= 2,
      not(changesOne) or changed == 1,
      added.intersect(lost) == Set(),
      not(waitsForCommit) or and {
        committedLength > 0,
        log.slice(committedLength, log.length()).foldl(true, (ok, entry) => ok and entry.voters == Set()),
      },
      extendLog(after),
    },
    repairs' = repairs + 1,
  }

  // At most a minority of the voters in force is without its disk.
  action lose(r: str): bool = all {
    replicas.get(r).running,
    val whole = names.filter(n => leader != "" and votersOf(replicas.get(leader).log).contains(n))
    whole.contains(r) implies isMajority(whole.exclude(lost.union(Set(r))), whole),
    leader != "",
    lost.size() < 2,
    lost' = if (renamesWiped) lost.union(Set(r)) else lost,
    replicas' = replicas.set(r, { log: [], term: 0, running: not(renamesWiped) }),
    leader' = leader, term' = term, nextId' = nextId, acknowledged' = acknowledged,
    repairs' = repairs, elected' = elected,
  }

  action write = all { extendLog(Set()), repairs' = repairs }

  action step = {
    nondet r = oneOf(names)
    nondet other = oneOf(names)
    nondet third = oneOf(names)
    nondet count = oneOf(1.to(maximumLog))
    any {
      elect(r, Set(other, third)),
      write,
      replicate(r, count),
      replicate(r, maximumLog),
      replicate(other, maximumLog),
      acknowledge,
      changeVoters(Set(r), Set(other)),
      changeVoters(Set(r), Set()),
      changeVoters(Set(), Set(other)),
      lose(r),
    }
  }

  // Steers a search towards two rivals that lead in turn by the vote of a third:
  // each has an entry of its own term that nobody copied.
  action initWithRivals = all {
    replicas' = names.mapBy(r =>
      if (r == "a") { log: [{ term: 1, id: 1, voters: Set() }], term: 1, running: true }
      else if (r == "b") { log: [{ term: 2, id: 2, voters: Set() }], term: 2, running: true }
      else if (r == "c") { log: [], term: 2, running: true }
      else { log: [], term: 0, running: true }),
    lost' = Set(),
    leader' = "b",
    term' = 2,
    nextId' = 3,
    acknowledged' = Set(),
    repairs' = 0,
    elected' = Set({ leader: "a", term: 1 }, { leader: "b", term: 2 }),
  }

  action stepOfRivals = {
    nondet r = oneOf(founders)
    nondet count = oneOf(1.to(2))
    any {
      elect(r, Set("c")),
      replicate("c", count),
      acknowledge,
    }
  }

  // The log of a leader holds everything that was acknowledged before.
  val acknowledgedSurvives = leader == "" or not(leads) or
    acknowledged.subseteq(entriesOf(replicas.get(leader).log, replicas.get(leader).log.length()))

  val oneLeaderATerm = elected.map(e => e.term).size() == elected.size()

  val repairedTwice = repairs > 1 and acknowledged.size() > 3
  val lostTwice = lost.size() > 1 and acknowledged.size() > 3
}

module votersWhole {
  import voters(waitsForCommit = true, changesOne = true, renamesWiped = true, commitsOwnTerm = true).*
}
module votersWithoutCommitWait {
  import voters(waitsForCommit = false, changesOne = true, renamesWiped = true, commitsOwnTerm = true).*
}
module votersWithBigChanges {
  import voters(waitsForCommit = true, changesOne = false, renamesWiped = true, commitsOwnTerm = true).*
}
module votersWithWipedNames {
  import voters(waitsForCommit = true, changesOne = true, renamesWiped = false, commitsOwnTerm = true).*
}
module votersWithOldTerms {
  import voters(waitsForCommit = true, changesOne = true, renamesWiped = true, commitsOwnTerm = false).*
}
