/*
 * Configuration through the log: two operators race to amend one document,
 * an append may take effect although its answer is lost, an operator then
 * appends the same publication again, records expire after a refresh, and a
 * follower may restart with an empty state.
 *
 * Safety: followers that have applied the same prefix agree (same_winner), a
 * version never goes down within one life of a follower (no_revert), a
 * publication takes effect at most once (applied_once), and an operator is
 * told "accepted" only if its publication took effect (told_true).
 * Liveness: both followers reach the last accepted version (converge).
 *
 * Seeded faults: -DNO_BASE_CHECK accepts amendments made from an old version,
 * -DNO_VERSION_CHECK lets a refresh replace a higher version, -DTRUST_APPEND
 * reports acceptance once the append succeeded, -DEARLY_EXPIRY lets records
 * expire that no refresh repeats. A second copy of a
 * publication is stopped by its id and again by its base version.
 */

#define OPERATORS 2
#define FOLLOWERS 2
#define MAXLOG 4
#define NONE 255

#ifdef NO_BASE_CHECK
#define NO_BASE true
#else
#define NO_BASE false
#endif
#ifdef EARLY_EXPIRY
#define EARLY true
#else
#define EARLY false
#endif
#ifdef NO_VERSION_CHECK
#define NO_VERSION true
#else
#define NO_VERSION false
#endif

/* One record: the publication's id, the version it was made from, and
 * whether it is a refresh of an accepted document. */
typedef Record { byte id; byte base; byte body; bool refresh }
Record log[MAXLOG];
byte log_len = 0;
byte log_first = 0; /* records below it have expired */

/* The document as a function of the log alone. */
byte true_version = 0, true_body = NONE, last_accepted_id = NONE;
byte applied_count[OPERATORS];
bool seen_true[OPERATORS];

typedef Follower { byte at; byte version; byte body; byte resets }
Follower f[FOLLOWERS];
bool seen[4]; /* FOLLOWERS * OPERATORS */

byte told[OPERATORS]; /* 0 nothing, 1 accepted, 2 conflict */
bool quiet = false;   /* operators are done and the network is calm */
byte finished = 0;

#define SEEN(i, id) seen[(i) * OPERATORS + (id)]

/* The reference: what log order alone decides. */
inline reference(pid_, base_, body_) {
	if
	:: !seen_true[pid_] ->
		if
		:: (base_ == true_version) || NO_BASE ->
			true_version = base_ + 1; true_body = body_; applied_count[pid_]++; last_accepted_id = pid_
		:: else -> skip
		fi;
		seen_true[pid_] = true
	:: else -> skip
	fi
}

inline append(pid_, base_) {
	log[log_len].id = pid_; log[log_len].base = base_; log[log_len].body = pid_;
	log[log_len].refresh = false;
	log_len++;
	reference(pid_, base_, pid_)
}

/* An operator amends from the version it read. When the answer is lost it
 * looks for its record and, if the search came too early or the append never
 * took effect, appends the same publication again. */
proctype Operator(byte me) {
	byte base, tries = 0;
	base = true_version;
	do
	:: tries < 2 ->
		tries++;
		if
		:: atomic { log_len < MAXLOG - 1 -> append(me, base) }; break /* answered */
		:: atomic { log_len < MAXLOG - 1 -> append(me, base) }        /* took effect, answer lost */
		:: skip                                                       /* did not take effect */
		fi
	:: tries > 0 -> break
	od;
	/* Follows the log until it has seen its own record. */
#ifdef TRUST_APPEND
	told[me] = 1;
#else
	atomic {
		if
		:: seen_true[me] && applied_count[me] > 0 -> told[me] = 1
		:: seen_true[me] && applied_count[me] == 0 -> told[me] = 2
		:: !seen_true[me] -> skip /* never appended: told so */
		fi
	}
#endif
	finished++
}

/* Repeats the accepted document near the end of retention, then lets old
 * records expire. The refresher reads at one time and appends at another. */
proctype Refresher() {
	byte version, body;
	atomic { version = true_version; body = true_body };
	atomic {
		if
		:: version > 0 && log_len < MAXLOG ->
			log[log_len].id = NONE; log[log_len].base = version; log[log_len].body = body;
			log[log_len].refresh = true;
			log_len++;
			/* Only records before the refresh expire, and only those the
			 * refresh repeats. */
			if
			:: version == true_version || EARLY -> log_first = log_len - 1
			:: else -> skip
			fi
		:: else -> skip
		fi
	};
	finished++
}

inline apply(i) {
	if
	:: log[f[i].at].refresh ->
		if
		:: (log[f[i].at].base > f[i].version) || NO_VERSION ->
			assert(NO_VERSION || log[f[i].at].base >= f[i].version);
			assert(log[f[i].at].base >= f[i].version); /* no_revert */
			f[i].version = log[f[i].at].base; f[i].body = log[f[i].at].body
		:: else -> skip
		fi
	:: else ->
		if
		:: !SEEN(i, log[f[i].at].id) ->
			if
			:: (log[f[i].at].base == f[i].version) || NO_BASE ->
				assert(log[f[i].at].base + 1 > f[i].version); /* no_revert */
				f[i].version = log[f[i].at].base + 1; f[i].body = log[f[i].at].body
			:: else -> skip
			fi;
			SEEN(i, log[f[i].at].id) = true
		:: else -> skip
		fi
	fi;
	f[i].at++;
	if
	:: f[i].at == log_len -> /* same_winner */
		assert(f[i].version == true_version && f[i].body == true_body)
	:: else -> skip
	fi
}

active [FOLLOWERS] proctype FollowerProc() {
	byte i = _pid;
end:	do
	:: atomic { f[i].at < log_len && f[i].at >= log_first -> apply(i) }
	:: atomic { f[i].at < log_first -> f[i].at = log_first }
	:: atomic { f[i].resets == 0 && !quiet ->
		f[i].resets = 1; f[i].at = log_first; f[i].version = 0; f[i].body = NONE;
		SEEN(i, 0) = false; SEEN(i, 1) = false }
	od
}

active proctype Check() {
	run Operator(0); run Operator(1); run Refresher();
	finished == 3;
	quiet = true;
	assert(applied_count[0] <= 1 && applied_count[1] <= 1);      /* applied_once */
	assert(told[0] != 1 || applied_count[0] == 1);               /* told_true */
	assert(told[1] != 1 || applied_count[1] == 1)
}

#define caught_up (f[0].at == log_len && f[1].at == log_len && f[0].version == true_version && f[1].version == true_version)
ltl converge { [] (quiet -> <> [] caught_up) }
