/* Lease and fencing of one job, with a lease holder that is suspended: two routers, the voters as one process
 * that is always consistent (the Raft library is responsible for their agreement), messages that are delayed,
 * lost or reordered, and a router that stops between checking its lease and writing. Not modelled: voters
 * that change or fail, clock drift (MARGIN stands for it), more than one change of owner.
 *
 * Planted faults, each of which has to be found:
 * EARLY: the voters grant the job before the lease has certainly expired.
 * NOFENCE: receivers accept any fencing token.
 * TAKEBACK: a router may still renew its lease after it has sent a release.
 */
#define LEASE 2
#define MARGIN 1
#define END 6
#define GRANTS 2
#define NOBODY 2

byte now, number = 1, owner = 0, over = LEASE + MARGIN;
byte mine[2], until[2];
bool released[2];
byte seen;

chan renewals = [1] of { byte, byte, byte }; /* router, fencing token, time of sending */
chan answers = [1] of { byte, byte, byte };
chan releases = [1] of { byte };
chan effects = [1] of { byte };

#define PROVED(i) (until[i] > now)

active proctype voters() {
  byte who, n, sent;
end: do
  :: atomic { renewals?who, n, sent ->
       if
       :: n == number && owner == who ->
          over = now + LEASE + MARGIN;
          if :: nfull(answers) -> answers!who, n, sent :: skip fi
       :: else
       fi }
  :: atomic { releases?n -> if :: n == number -> owner = NOBODY :: else fi }
#ifdef EARLY
  :: atomic { number < GRANTS ->
#else
  :: atomic { number < GRANTS && (owner == NOBODY || now >= over) ->
#endif
       number++;
       if :: owner = 0 :: owner = 1 fi;
       over = now + LEASE + MARGIN }
  od
}

proctype router(byte me) {
  byte n, sent, to_write;
end: do
  :: atomic { owner == me && mine[me] != number -> mine[me] = number; until[me] = 0; released[me] = false }
#ifdef TAKEBACK
  :: atomic { mine[me] > 0 && nfull(renewals) -> renewals!me, mine[me], now }
#else
  :: atomic { mine[me] > 0 && !released[me] && nfull(renewals) -> renewals!me, mine[me], now }
#endif
  :: atomic { answers??eval(me), n, sent ->
       if
#ifdef TAKEBACK
       :: n == mine[me] && sent + LEASE - MARGIN > until[me] -> until[me] = sent + LEASE - MARGIN
#else
       :: n == mine[me] && !released[me] && sent + LEASE - MARGIN > until[me] -> until[me] = sent + LEASE - MARGIN
#endif
       :: else
       fi }
  :: atomic { PROVED(me) && !released[me] && nfull(releases) ->
       until[me] = 0; released[me] = true; releases!mine[me] }
  :: PROVED(me) -> to_write = mine[me];
     /* the router may be suspended here for any time */
     if :: nfull(effects) -> effects!to_write :: skip fi
  od
}

active proctype receiver() {
  byte n;
end: do
  :: effects?n ->
#ifndef NOFENCE
     if :: n < seen -> goto end :: else fi;
#endif
     assert(n >= seen);
     seen = n
  od
}

active proctype time() {
end: do
  :: now < END -> now++
  od
}

active proctype rule() {
end: do
  :: atomic { PROVED(0) && PROVED(1) -> assert(false) }
  od
}

init { atomic { run router(0); run router(1) } }
