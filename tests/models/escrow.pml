/* Quota leases from a limited stock: the replicated record, quota allocators ('bank') that own the job one
 * after another, and quota holders that request, spend and return leases. Messages are lost, duplicated,
 * reordered and delayed without limit. Each quota lease ('part') is one unit. Not modelled: expiry by clocks
 * (a holder may return a lease, and the record may replace the allocator, at any time), windows, and units
 * that routers lend one another (these are taken from a lease before they are lent).
 *
 * Planted faults, each of which has to be found:
 * RETAKE: a holder accepts a lease for a request that it no longer waits for.
 * TWICE: an allocator accepts the return of a lease each time that the message arrives.
 * ANYBANK: an allocator accepts the return of a lease that an earlier allocator granted.
 * KEEP: a holder returns a lease and still spends it.
 * NOFENCE: the record lets a former allocator repeat a draw that it has already made.
 */
#define WHOLE 1
#define BANKS 2
#define SERIALS 3

byte drawn, spent;
byte number = 1;     /* fencing token of the current allocator, in the record */
byte last_draw;      /* serial number of its last draw */
byte granted;
byte pool, serial, drawing, draws;
bool out[SERIALS + 1];
byte asked[2], answer[2]; /* kept by the allocator, per holder: last request, and the serial granted for it (0: none) */

chan draw = [1] of { byte, byte };               /* allocator, serial */
chan ask = [1] of { byte, byte };                /* holder, request */
chan parcel = [2] of { byte, byte, byte, byte }; /* holder, request, allocator, serial */
chan back = [1] of { byte, byte };               /* allocator, serial */

active proctype record() {
  byte b, s;
end: do
  :: atomic { draw??b, s ->
       if
#ifdef NOFENCE
       :: drawn < WHOLE || b < number ->
          if :: drawn < WHOLE -> drawn++ :: else fi; last_draw = s; granted = 1
#else
       :: b == number && s > last_draw ->
          last_draw = s;
          if :: drawn < WHOLE -> drawn++; granted = 1 :: else -> granted = 0 fi
#endif
       :: else
       fi; b = 0; s = 0 }
  :: atomic { number < BANKS ->  /* a new allocator, without its predecessor's state */
       number++; last_draw = 0; granted = 0;
       pool = 0; serial = 0; drawing = 0; draws = 0;
       asked[0] = 0; asked[1] = 0; answer[0] = 0; answer[1] = 0;
       out[1] = false; out[2] = false; out[3] = false }
  od
}

active proctype bank() {
  byte who, a, b, s;
end: do
  :: atomic { drawing == 0 && draws < 2 -> draws++; drawing = draws }
  :: atomic { drawing > 0 && nfull(draw) -> draw!number, drawing }  /* may be resent at any time */
  :: atomic { drawing > 0 && last_draw == drawing -> pool = pool + granted; drawing = 0 }
  :: atomic { ask??who, a ->
       if
       :: a > asked[who] ->
          asked[who] = a; answer[who] = 0;
          if
          :: pool > 0 && serial < SERIALS -> pool--; serial++; out[serial] = true; answer[who] = serial
          :: else
          fi
       :: else
       fi;
       if
       :: a == asked[who] && answer[who] > 0 && nfull(parcel) -> parcel!who, a, number, answer[who]
       :: else
       fi; who = 0; a = 0 }
  :: atomic { nempty(back) -> if :: back?b, s :: back?<b, s> fi;
       if
#ifdef ANYBANK
       :: b != number || out[s] -> out[s] = false; pool++
#else
#ifdef TWICE
       :: b == number -> out[s] = false; pool++
#else
       :: b == number && out[s] -> out[s] = false; pool++
#endif
#endif
       :: else
       fi; b = 0; s = 0 }
  od
}

proctype holder(byte me; byte most) {
  byte asking, asks, given_up, a, b, s, from, part;
  bool held;
end: do
  :: atomic { asking == 0 && asks < most -> asks++; asking = asks }
  :: atomic { asking > 0 && nfull(ask) -> ask!me, asking }
  :: atomic { asking > 0 -> given_up = asking; asking = 0 }
  :: atomic { parcel??[eval(me), a, b, s] ->
       if :: parcel??eval(me), a, b, s :: parcel?? <eval(me), a, b, s> fi;
       if
#ifdef RETAKE
       :: a <= asks && !held -> asking = 0; held = true; from = b; part = s
#else
       :: a == asking && !held -> asking = 0; held = true; from = b; part = s
#endif
       :: a == given_up && a != asking && nfull(back) -> given_up = 0; back!b, s
       :: else
       fi; a = 0; b = 0; s = 0 }
  :: atomic { held -> held = false; from = 0; part = 0; spent++; assert(spent <= WHOLE) }
#ifdef KEEP
  :: atomic { held && nfull(back) -> back!from, part }
#else
  :: atomic { held && nfull(back) -> held = false; back!from, part; from = 0; part = 0 }
#endif
  od
}

/* Loses messages. Duplicates arise where receivers may read a message without removing it. */
active proctype network() {
  byte w, a, b, s;
end: do
  :: atomic { parcel?w, a, b, s -> w = 0; a = 0; b = 0; s = 0 }
  :: atomic { back?b, s -> b = 0; s = 0 }
  od
}

init { atomic { run holder(0, 2); run holder(1, 1) } }
