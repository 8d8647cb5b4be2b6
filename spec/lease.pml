/*
 * Leases of one shard: claims through the log, renewal by reads, extension by voters.
 *
 * docs/design/leases.md explains the protocol, crates/sesamecart-lease implements it, and
 * spec/check runs this model with the bounds that it prints.
 *
 * Time is discrete. A tick may come between any two steps and no step must ever be taken, so that
 * every pause, slow or cut link, lost answer and outage of the log is some order of steps. What is merged into one step, and why that hides nothing:
 * - A read takes effect when it began. A late answer gives a lease with the same end that begins
 *   later, so the merged read lets more happen.
 * - A voter's promise counts from the grant. The real holder counts from its earlier question.
 * - A voter's "applied" counts at once. The real claimant counts from the later answer.
 *
 * A rejected record leaves no trace here, as every reader skips it alike.
 */

#ifndef NODES
#define NODES 2
#endif
#ifndef CLAIMS
#define CLAIMS 3        /* accepted claims, the first holder's included */
#endif
#ifndef LENGTH
#define LENGTH 2        /* ticks of one lease */
#endif
#ifndef CALM_LIMIT
#define CALM_LIMIT 6    /* ticks within which a shard must have a holder again */
#endif
#define NOBODY 7
#define FLIGHT 1        /* ticks that an order may be under way */
#ifdef MUTANT_NO_QUIET
#define QUIET 0
#else
#define QUIET FLIGHT    /* ticks before the first order to an endpoint that checks no epochs */
#endif

/*
 * Two voter sets with majorities that don't meet. With SINGLE_VOTERS they are {0} and {1}; else
 * {0,1,2}, where two are a majority, and {2}.
 */
#ifdef SINGLE_VOTERS
#define VOTERS 2
#define IN_SET(v, s) ((v) == (s))
#define MAJORITY(s) 1
#else
#define VOTERS 3
#define IN_SET(v, s) ((s) == 0 || (v) == 2)
#define MAJORITY(s) (2 - (s))
#endif
#define BITS(b) (((b) & 1) + (((b) >> 1) & 1) + (((b) >> 2) & 1))

#define ASKING 1        /* collects "applied" from the old voters */
#define WAITING 2       /* waits one lease length */
#define HOLDING 3

#define ACTING(n) (phase[n] == HOLDING && left[n] > 0)

/* The log: the accepted claims, and whether the newest one is released. */
byte newest = 1;
byte holder[CLAIMS + 1];
bit voters[CLAIMS + 1];
bit handed_over[CLAIMS + 1];    /* the claim before was released */
bit released;

/* Nodes. */
byte known[NODES];      /* newest claim that it applied; 0 after a restart */
byte mine[NODES];       /* own claim under which it may come to act; 0 if none */
byte phase[NODES];
byte left[NODES];       /* ticks that it may still act */
byte wait[NODES];
byte applied[NODES];    /* old voters that confirmed: bits */
byte promised[NODES];   /* first voter of a round of promises + 1; 0 if none */
byte age[NODES];        /* ticks since that promise */
byte draft[NODES];      /* claim under way: the epoch that it builds on; 0 if none */
bit draft_voters[NODES];
bit orphan[NODES];      /* the claim under way is of an earlier life */
byte release[NODES];    /* release under way: its epoch */

/* Voters. */
byte seen[VOTERS];      /* newest claim that it applied */
bit settled[VOTERS];    /* has read the log's tail in this life */

#ifdef ORDERS
byte term[NODES];       /* the epoch of the takeover that made it holder */
byte quiet[NODES];      /* ticks until it may order endpoints that check no epochs */
byte flight[NODES];     /* ticks that an order may still be under way */
byte order_term[NODES];
byte newest_effect;
#endif

#ifdef LIVE
byte calm;              /* ticks since faults ended, plus one; 0 while there are faults */
#endif

/* Node n applies the log up to claim k. */
inline apply(n, k) {
  if
  :: k == known[n] -> skip
  :: k != known[n] && holder[k] == n && mine[n] == k - 1 && mine[n] != 0 ->
     mine[n] = k;       /* its own change of voters */
     promised[n] = 0; age[n] = 0
  :: k != known[n] && holder[k] == n && (mine[n] != k - 1 || mine[n] == 0) ->
     mine[n] = k; left[n] = 0; promised[n] = 0; age[n] = 0; applied[n] = 0;
#ifdef ORDERS
     term[n] = k; quiet[n] = QUIET;
#endif
     if
     :: handed_over[k] -> phase[n] = HOLDING;
#ifdef ORDERS
        quiet[n] = QUIET + 1    /* it begins between two ticks */
#endif
#ifdef MUTANT_NO_MAJORITY
     :: !handed_over[k] -> phase[n] = WAITING; wait[n] = LENGTH
#else
     :: !handed_over[k] -> phase[n] = ASKING
#endif
     fi
  :: k != known[n] && holder[k] != n -> mine[n] = 0; phase[n] = 0; left[n] = 0; wait[n] = 0;
     applied[n] = 0; promised[n] = 0; age[n] = 0
  fi;
  known[n] = k;
  if :: draft[n] != 0 && draft[n] < k -> draft[n] = 0; draft_voters[n] = 0; orphan[n] = 0
     :: else -> skip fi;
  if :: release[n] != 0 && (release[n] < k || (release[n] == newest && released)) -> release[n] = 0
     :: else -> skip fi
}

inline read(n) {
  apply(n, newest);
  if :: mine[n] == newest -> left[n] = LENGTH :: else -> skip fi
}

inline land(n) {
  if
  :: draft[n] == newest ->
     newest++;
     if :: orphan[n] -> holder[newest] = NOBODY :: else -> holder[newest] = n fi;
     voters[newest] = draft_voters[n];
     handed_over[newest] = released;
     released = 0
  :: else -> skip
  fi
}

inline land_release(n) {
  if :: release[n] == newest -> released = 1 :: else -> release[n] = 0 fi
}

/* Voter v confirms to n that it has applied n's claim. */
inline confirm(n, v) {
  applied[n] = applied[n] | (1 << v);
  if
  :: BITS(applied[n]) >= MAJORITY(voters[mine[n] - 1]) ->
     applied[n] = 0;
#ifdef MUTANT_NO_WAIT
     phase[n] = HOLDING
#else
     phase[n] = WAITING; wait[n] = LENGTH
#endif
  :: else -> skip
  fi
}

/* Voter v promises to n. */
inline promise(n, v) {
  if
  :: MAJORITY(voters[mine[n]]) == 1 || (promised[n] != 0 && promised[n] != v + 1) ->
     if :: LENGTH - age[n] > left[n] -> left[n] = LENGTH - age[n] :: else -> skip fi;
     promised[n] = 0; age[n] = 0
  :: else -> promised[n] = v + 1; age[n] = 0
  fi
}

inline restart(n) {
  mine[n] = 0; phase[n] = 0; left[n] = 0; wait[n] = 0; applied[n] = 0;
  promised[n] = 0; age[n] = 0; known[n] = 0;
  if :: draft[n] != 0 -> orphan[n] = 1 :: else -> skip fi;
#ifdef ORDERS
  term[n] = 0; quiet[n] = 0;
#endif
  e = 1;
  do
  :: e <= newest -> if :: holder[e] == n -> holder[e] = NOBODY :: else -> skip fi; e++
  :: else -> break
  od;
  e = 0
}

inline tick() {
  i = 0;
  do
  :: i < NODES ->
     if :: left[i] > 0 -> left[i]-- :: else -> skip fi;
#ifdef ORDERS
     if :: quiet[i] > 0 && phase[i] == HOLDING -> quiet[i]-- :: else -> skip fi;
#endif
     if :: phase[i] == WAITING -> wait[i]--;
           if :: wait[i] == 0 -> phase[i] = HOLDING :: else -> skip fi
        :: else -> skip fi;
     if :: promised[i] != 0 -> age[i]++;
           if :: age[i] == LENGTH -> promised[i] = 0; age[i] = 0 :: else -> skip fi
        :: else -> skip fi;
#ifdef ORDERS
     if :: flight[i] > 0 -> flight[i]--;
           if :: flight[i] == 0 -> order_term[i] = 0 :: else -> skip fi
        :: else -> skip fi;
#endif
     i++
  :: else -> break
  od;
  i = 0
}

inline check() {
  i = 0; acting = 0;
  do
  :: i < NODES -> if :: ACTING(i) -> acting++ :: else -> skip fi; i++
  :: else -> break
  od;
  assert(acting <= 1);
  i = 0; acting = 0
}

#define MAY_CLAIM(n) (mine[n] == 0 && draft[n] == 0 && release[n] == 0 && known[n] != 0 \
                      && known[n] < CLAIM_BOUND)
#ifdef LIVE
#define CLAIM_BOUND (CLAIMS - 1)  /* leaves one claim to the calm phase */
#else
#define CLAIM_BOUND CLAIMS
#endif

#ifdef LIVE
#define MAY_CLAIM_CALM (mine[0] == 0 && draft[0] == 0 && newest < CLAIMS \
                        && (holder[newest] == NOBODY || released))

/*
 * One tick without faults: everything is read, what is under way lands, voters answer, and the
 * node that rendezvous order names (0) claims what nobody lives to hold.
 */
inline calm_tick() {
  n = 0;
  do
  :: n < NODES ->
     if :: draft[n] != 0 && newest < CLAIMS -> land(n) :: else -> skip fi;
     if :: release[n] != 0 -> land_release(n) :: else -> skip fi;
     n++
  :: else -> break
  od;
  v = 0;
  do
  :: v < VOTERS -> seen[v] = newest; settled[v] = 1; v++
  :: else -> break
  od;
  n = 0;
  do
  :: n < NODES ->
     read(n);
     v = 0;
     do
     :: v < VOTERS ->
        if :: phase[n] == ASKING && IN_SET(v, voters[mine[n] - 1]) -> confirm(n, v)
           :: else -> skip fi;
        v++
     :: else -> break
     od;
     n++
  :: else -> break
  od;
  if
  :: MAY_CLAIM_CALM -> draft[0] = newest; draft_voters[0] = voters[newest]
  :: else -> skip
  fi;
  n = 0; v = 0;
  calm++;
  i = 0; acting = 0;
  do
  :: i < NODES -> if :: ACTING(i) -> acting++ :: else -> skip fi; i++
  :: else -> break
  od;
  assert(calm <= CALM_LIMIT || acting == 1);
  i = 0; acting = 0;
  tick()
}
#endif

#ifdef MUTANT_FORGETFUL_VOTER
#define VOTER_SETTLED(v) 1
#else
#define VOTER_SETTLED(v) settled[v]
#endif
#ifdef MUTANT_OLD_VOTERS
#define VOTERS_DECIDED(n) 1
#else
#define VOTERS_DECIDED(n) (draft[n] == 0)
#endif

#define VOTER_MAY_PROMISE(n, v) \
  (IN_SET(v, voters[mine[n]]) && seen[v] == mine[n] && VOTER_SETTLED(v))

/* A read would change something. */
#define MAY_LEARN(n) (known[n] != newest || (mine[n] == newest && left[n] < LENGTH) \
                      || release[n] != 0)

/* Sets n and m to any nodes and v to any voter. */
#define ANY_NODE select(n : 0 .. (NODES - 1))
#define ANY_PEER select(m : 0 .. (NODES - 1))
#define ANY_VOTER select(v : 0 .. (VOTERS - 1))

active proctype system() {
  byte n, m, v, i, e, acting;

  d_step {
    holder[1] = 0; known[0] = 1; mine[0] = 1; phase[0] = HOLDING;
    n = 0;
    do
    :: n < NODES -> known[n] = 1; n++
    :: else -> break
    od;
    v = 0;
    do
    :: v < VOTERS -> seen[v] = 1; settled[v] = 1; v++
    :: else -> break
    od;
#ifdef ORDERS
    term[0] = 1;
#endif
    n = 0; v = 0
  };

end:
  do
#ifdef LIVE
  :: calm > 0 && calm <= CALM_LIMIT -> d_step { calm_tick() }
  :: calm > CALM_LIMIT -> break
  :: calm == 0 -> calm = 1
  :: calm == 0 ->
#else
  ::
#endif
     atomic {
     ANY_NODE;
     if
     /* The log. */
     :: draft[n] != 0 && newest < CLAIM_BOUND -> d_step { land(n) }
     :: draft[n] == newest && !orphan[n] -> /* refused for certain: it did not land */
        d_step { draft[n] = 0; draft_voters[n] = 0 }
     :: release[n] != 0 -> d_step { land_release(n) }
     /* Nodes. */
     :: MAY_LEARN(n) -> d_step { read(n) }
     :: ANY_PEER; if :: known[m] > known[n] -> d_step { apply(n, known[m]) } :: else -> skip fi
     :: MAY_CLAIM(n) -> d_step {
          draft[n] = known[n];
#ifdef MUTANT_NEW_VOTERS
          draft_voters[n] = 1 - voters[known[n]]
#else
          draft_voters[n] = voters[known[n]]
#endif
        }
     :: MAY_CLAIM(n) && released && known[n] == newest ->
        d_step { draft[n] = known[n]; draft_voters[n] = 1 - voters[known[n]] }
     :: ACTING(n) && draft[n] == 0 && mine[n] < CLAIM_BOUND ->
        d_step { draft[n] = mine[n]; draft_voters[n] = 1 - voters[mine[n]] }
     :: ACTING(n) && draft[n] == 0 && release[n] == 0 -> d_step {
          release[n] = mine[n];
          mine[n] = 0; phase[n] = 0; left[n] = 0; promised[n] = 0; age[n] = 0
        }
#ifdef RESTARTS
     :: known[n] != 0 -> d_step { restart(n) }
#endif
     :: phase[n] == ASKING -> ANY_VOTER;
        if
        :: IN_SET(v, voters[mine[n] - 1]) && seen[v] >= mine[n] -> d_step { confirm(n, v) }
        :: else -> skip
        fi;
        v = 0
     :: phase[n] >= WAITING && mine[n] != 0 -> ANY_VOTER;
        if
        :: VOTER_MAY_PROMISE(n, v) && VOTERS_DECIDED(n) -> d_step { promise(n, v) }
        :: else -> skip
        fi;
        v = 0
     /* Voters. */
     :: ANY_VOTER;
        if
        :: (seen[v] != newest || !settled[v]) ->
           d_step { seen[v] = newest; settled[v] = 1 }
        :: known[n] > seen[v] -> seen[v] = known[n]          /* passed on by a peer */
        :: seen[v] != 0 -> d_step { seen[v] = 0; settled[v] = 0 } /* restarts */
        :: else -> skip
        fi;
        v = 0
#ifdef ORDERS
     :: ACTING(n) && quiet[n] == 0 && flight[n] == 0 ->
        d_step { flight[n] = FLIGHT + 1; order_term[n] = term[n] }
     :: flight[n] > 0 -> d_step {
          assert(order_term[n] >= newest_effect);
          newest_effect = order_term[n]; flight[n] = 0; order_term[n] = 0
        }
#endif
     /* Time. */
     :: d_step { tick() }
     fi;
     n = 0; m = 0; v = 0;
     d_step { check() }
     }
  od
}
