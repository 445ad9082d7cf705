/* Generated from charts/token_lease.yaml by "oleanderworks charts promela token_lease"; do not edit. */
#define token_lease_s_idle 0
#define token_lease_s_asking 1
#define token_lease_s_held 2
#define token_lease_e_due 0
#define token_lease_e_promised 1
#define token_lease_e_refused 2
#define token_lease_e_lapsed 3
#define token_lease_e_lost 4
inline token_lease_step(s, e) {
	if
	:: (s == token_lease_s_idle && e == token_lease_e_due && (token_lease_g_standing_elsewhere)) -> token_lease_a_wait; s = token_lease_s_idle
	:: (s == token_lease_s_idle && e == token_lease_e_due && !(token_lease_g_standing_elsewhere)) -> token_lease_a_ask; s = token_lease_s_asking
	:: (s == token_lease_s_asking && e == token_lease_e_due) -> token_lease_a_give_back; token_lease_a_wait; s = token_lease_s_idle
	:: (s == token_lease_s_asking && e == token_lease_e_promised && (token_lease_g_majority)) -> token_lease_a_open; s = token_lease_s_held
	:: (s == token_lease_s_asking && e == token_lease_e_promised && !(token_lease_g_majority)) -> s = token_lease_s_asking
	:: (s == token_lease_s_asking && e == token_lease_e_refused && (token_lease_g_hopeless)) -> token_lease_a_give_back; token_lease_a_wait; s = token_lease_s_idle
	:: (s == token_lease_s_asking && e == token_lease_e_refused && !(token_lease_g_hopeless)) -> s = token_lease_s_asking
	:: (s == token_lease_s_asking && e == token_lease_e_lapsed) -> token_lease_a_give_back; token_lease_a_wait; s = token_lease_s_idle
	:: (s == token_lease_s_asking && e == token_lease_e_lost) -> token_lease_a_give_back; token_lease_a_wait; s = token_lease_s_idle
	:: (s == token_lease_s_held && e == token_lease_e_due) -> token_lease_a_ask_again; s = token_lease_s_held
	:: (s == token_lease_s_held && e == token_lease_e_promised && (token_lease_g_majority)) -> token_lease_a_extend; s = token_lease_s_held
	:: (s == token_lease_s_held && e == token_lease_e_promised && !(token_lease_g_majority)) -> s = token_lease_s_held
	:: (s == token_lease_s_held && e == token_lease_e_lapsed) -> token_lease_a_close; token_lease_a_wait; s = token_lease_s_idle
	:: (s == token_lease_s_held && e == token_lease_e_lost) -> token_lease_a_give_back; token_lease_a_close; token_lease_a_wait; s = token_lease_s_idle
	:: else -> skip /* ignored */
	fi
}
