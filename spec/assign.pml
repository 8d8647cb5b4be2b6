/*
 * A VM serves at most one group: assignments through the log, by two controllers.
 *
 * Each controller may append "the VM is mine" and "the VM is free" for its group. A reader accepts
 * an assignment only if the VM is free at that place of the log. A controller routes to the VM only
 * after it has read its own accepted assignment, and stops before it appends that the VM is free.
 * A record may land late or not at all, and a controller may restart at any time. Run by spec/check.
 */
#define GROUPS 2
#define RECORDS 5
#define FREE 7

byte records;           /* accepted records, bounded to keep the model finite */
byte owner = FREE;      /* the fold at the log's end */
byte believed[GROUPS];  /* the owner as each controller last read it */
bit routes[GROUPS];
bit assigning[GROUPS];  /* an assignment under way */
bit freeing[GROUPS];    /* a release under way */

inline check() {
  assert(!(routes[0] && routes[1]));
  assert(!(routes[0] && owner == 1) && !(routes[1] && owner == 0))
}

active proctype system() {
  byte g;

  believed[0] = FREE; believed[1] = FREE;
end:
  do
  :: atomic {
     select(g : 0 .. (GROUPS - 1));
     if
     :: believed[g] == FREE && !assigning[g] && !freeing[g] ->
        assigning[g] = 1;
#ifdef MUTANT_ROUTES_EARLY
        routes[g] = 1
#endif
     :: assigning[g] && records < RECORDS ->    /* lands; the fold gives the verdict */
        if :: owner == FREE -> owner = g; records++ :: else -> skip fi;
        assigning[g] = 0
     :: assigning[g] -> assigning[g] = 0        /* lost before it landed */
     :: believed[g] != owner ->                 /* reads the tail */
        believed[g] = owner;
        if :: owner == g && !freeing[g] -> routes[g] = 1 :: else -> skip fi
     :: routes[g] && !freeing[g] ->
        freeing[g] = 1;
#ifndef MUTANT_FREES_EARLY
        routes[g] = 0
#endif
     :: freeing[g] && records < RECORDS ->
        if :: owner == g -> owner = FREE; records++ :: else -> skip fi;
        freeing[g] = 0; believed[g] = owner
     :: routes[g] -> routes[g] = 0; believed[g] = FREE  /* restarts */
     :: else -> skip
     fi;
     g = 0;
     check()
     }
  od
}
