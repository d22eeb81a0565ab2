#include "split.h"

#include <string.h>

struct split_state {
	GString *weights; /* services and weights as text; a change resets the credits */
	double *credits; /* for each target: weights earned minus those paid for its requests */
};

struct splits {
	GHashTable *routes; /* host and prefix, concatenated -> struct split_state */
};

static void state_free(gpointer data)
{
	struct split_state *state = data;

	g_string_free(state->weights, TRUE);
	g_free(state->credits);
	g_free(state);
}

struct splits *splits_create(void)
{
	struct splits *s = g_new0(struct splits, 1);

	s->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, state_free);
	return s;
}

void splits_destroy(struct splits *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->routes);
	g_free(s);
}

/* The state of the route; a new one if the route is new or its services or weights have changed. */
static struct split_state *state_find(struct splits *s, const struct route *route)
{
	g_autofree char *key = g_strconcat(route->host, route->prefix, NULL);
	struct split_state *state = g_hash_table_lookup(s->routes, key);
	GString *weights = g_string_new(NULL);

	for (guint i = 0; i < route->targets->len; i++) {
		const struct route_target *t = g_ptr_array_index(route->targets, i);

		g_string_append_printf(weights, "%s=%g ", t->service, t->weight);
	}
	if (state && strcmp(state->weights->str, weights->str) == 0) {
		g_string_free(weights, TRUE);
		return state;
	}
	state = g_new0(struct split_state, 1);
	state->weights = weights;
	state->credits = g_new0(double, route->targets->len);
	g_hash_table_replace(s->routes, g_steal_pointer(&key), state);
	return state;
}

const char *splits_next(struct splits *s, const struct route *route)
{
	const GPtrArray *targets = route->targets;
	const struct route_target *t = g_ptr_array_index(targets, 0);
	struct split_state *state;
	double sum = 0;
	guint best = 0;

	if (targets->len == 1)
		return t->service;
	state = state_find(s, route);
	for (guint i = 0; i < targets->len; i++) {
		t = g_ptr_array_index(targets, i);
		state->credits[i] += t->weight;
		sum += t->weight;
		if (state->credits[i] > state->credits[best])
			best = i;
	}
	state->credits[best] -= sum;
	t = g_ptr_array_index(targets, best);
	return t->service;
}
