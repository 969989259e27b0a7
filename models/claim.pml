/* The claim of one idempotency key, src/skylarkcroft/claims.
 *
 * Assumes, as the code does: a write of the table service compares the row's
 * version and sets it in one step; reads are consistent; a write whose answer
 * was lost may take effect at any later time, or never; a holder may stop at
 * any point. Clocks decide nothing: an unsent claim may be taken over at any
 * time.
 *
 * BROKEN_BLIND sends although the answer to the mark was lost.
 * BROKEN_TAKEOVER takes over a claim that was marked as sent.
 */

#define HOLDERS 3
#define MAX_VERSION 9

mtype = { none, claimed, sent, released };
mtype = { pending, committed, refused };

mtype state = none;
byte version = 0;
byte owner = 0;
byte sends = 0;
mtype answer[4] = pending;

inline compare_and_set(expected, next, writer, done) {
  atomic {
    if
    :: version == expected ->
      state = next;
      version++;
      owner = writer;
      done = true
    :: else -> done = false
    fi
  }
}

/* The mark on its way to the table service. */
proctype mark(byte writer; byte expected) {
  bool done;
  if
  :: true ->
    compare_and_set(expected, sent, writer, done);
    if
    :: done -> answer[writer] = committed
    :: else -> answer[writer] = refused
    fi
  :: true -> skip /* lost on the way */
  fi
}

proctype holder(byte self) {
  byte held;
  bool done;

  do
  :: version < MAX_VERSION ->
    atomic {
      if
      :: state == none || state == released || state == claimed ->
        held = version
#ifdef BROKEN_TAKEOVER
      :: state == sent -> held = version
#endif
      :: else -> goto finished /* waits for the one that sent it */
      fi
    }
    compare_and_set(held, claimed, self, done);
    if
    :: done -> held++; break
    :: else -> skip
    fi
  :: else -> goto finished
  od;

  run mark(self, held);
  if
  :: answer[self] == committed -> goto send
  :: answer[self] == refused -> goto finished
  :: true -> /* no answer: read the row */
#ifdef BROKEN_BLIND
    goto send
#endif
    atomic {
      if
      :: state == sent && owner == self && version == held + 1 -> goto send
      :: else -> goto release
      fi
    }
  fi;

send:
  sends++;
  assert(sends <= 1);
  goto finished;

release:
  do
  :: version < MAX_VERSION ->
    atomic {
      if
      :: owner == self && (state == claimed || state == sent) -> held = version
      :: else -> goto finished
      fi
    }
    compare_and_set(held, released, self, done);
    if
    :: done -> break
    :: else -> skip
    fi
  :: else -> break
  od;

finished:
  skip
}

init {
  byte next = 1;
  atomic {
    do
    :: next <= HOLDERS -> run holder(next); next++
    :: else -> break
    od
  }
}
