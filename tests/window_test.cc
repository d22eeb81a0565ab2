#include "script.h"
#include "window.h"

#include <gtest/gtest.h>

#include <deque>
#include <list>
#include <queue>
#include <vector>

namespace
{
/* One call of a VM to the simulated leaf. Times are in microseconds. */
struct simulated_call {
	unsigned int vm;
	uint64_t started_us;
	uint64_t sent_us;
};

/*
 * Simulates VMs that call one leaf, which has some slots and a queue of 12 calls. A call that is
 * not answered by its goal is given up: it is dropped if it still waits at the VM, but a call that
 * was sent to the leaf runs to its end.
 */
struct simulation {
	static constexpr size_t LEAF_QUEUE = 12;
	static constexpr uint64_t STEP_US = 1000;

	unsigned int slots;
	uint64_t work_us;
	uint64_t goal_us;
	bool has_window;
	std::vector<struct window> windows;
	std::vector<unsigned int> in_flight;
	std::vector<std::list<simulated_call>> waiting;
	std::deque<simulated_call> leaf_queue;
	std::vector<std::pair<simulated_call, uint64_t>> running; /* call, time at which it ends */
	unsigned int n_calls = 0;
	unsigned int n_in_time = 0;

	void call_end(const simulated_call &c, uint64_t now_us)
	{
		window_call_ended(&windows[c.vm], c.sent_us, goal_us, in_flight[c.vm], now_us);
		in_flight[c.vm]--;
		n_in_time += now_us - c.started_us <= goal_us;
	}

	bool may_send(unsigned int vm) const
	{
		return !has_window || in_flight[vm] < window_size(&windows[vm]);
	}

	void vm_send(unsigned int vm, uint64_t now_us)
	{
		std::list<simulated_call> &calls = waiting[vm];

		while (!calls.empty() && now_us - calls.front().started_us > goal_us)
			calls.pop_front();
		while (!calls.empty() && may_send(vm)) {
			simulated_call c = has_window ? calls.back() : calls.front();

			if (leaf_queue.size() >= LEAF_QUEUE) {
				window_call_refused(&windows[vm], now_us, now_us);
				return;
			}
			has_window ? calls.pop_back() : calls.pop_front();
			c.sent_us = now_us;
			in_flight[vm]++;
			leaf_queue.push_back(c);
		}
	}

	void leaf_step(uint64_t now_us)
	{
		for (size_t i = 0; i < running.size();) {
			if (running[i].second > now_us) {
				i++;
				continue;
			}
			call_end(running[i].first, now_us);
			running.erase(running.begin() + (long)i);
		}
		while (running.size() < slots && !leaf_queue.empty()) {
			running.emplace_back(leaf_queue.front(), now_us + work_us);
			leaf_queue.pop_front();
		}
	}

	/* Simulates ten seconds of load on random VMs; returns the percentage of calls in time. */
	unsigned int run(unsigned int n_vms, double calls_s)
	{
		GRand *rand = g_rand_new_with_seed(5);

		windows.resize(n_vms);
		in_flight.resize(n_vms);
		waiting.resize(n_vms);
		for (auto &w : windows)
			window_init(&w, slots);
		for (uint64_t now_us = 0; now_us < 10000000; now_us += STEP_US) {
			if (g_rand_double(rand) < calls_s * STEP_US / 1e6) {
				unsigned int vm = (unsigned)g_rand_int_range(rand, 0, (int)n_vms);

				waiting[vm].push_back({vm, now_us, 0});
				n_calls++;
			}
			leaf_step(now_us);
			for (unsigned int vm = 0; vm < n_vms; vm++)
				vm_send(vm, now_us);
		}
		g_rand_free(rand);
		return 100 * n_in_time / n_calls;
	}
};

/* Times are in milliseconds. */
struct window_script : script_interpreter {
	struct window w;

	window_script()
	{
		window_init(&w, 2);
	}

	/* simulate N vms N calls N slots N ms goal N window on|off; the calls are per second */
	static std::string simulate(const std::vector<std::string> &a)
	{
		struct simulation r = {};

		r.slots = std::stoul(a[5]);
		r.work_us = std::stoull(a[7]) * 1000;
		r.goal_us = std::stoull(a[10]) * 1000;
		r.has_window = a[12] == "on";
		return "in time " + std::to_string(r.run(std::stoul(a[1]), std::stod(a[3]))) +
		       "%\n";
	}

	std::string size() const
	{
		return "size " + std::to_string(window_size(&w)) + "\n";
	}

	/* ended SENT NOW USEFUL [in flight N times N]; refused SENT NOW; slots N */
	std::string run(const std::vector<std::string> &a) override
	{
		bool is_ended = a[0] == "ended";
		unsigned int in_flight = is_ended && a.size() > 6 ? std::stoul(a[6]) : 1;
		int times = is_ended && a.size() > 8 ? std::stoi(a[8]) : 1;

		if (a[0] == "slots") {
			window_init(&w, std::stoul(a[1]));
			return size();
		}
		if (a[0] == "simulate")
			return simulate(a);
		if (a[0] == "refused")
			window_call_refused(&w, std::stoull(a[1]) * 1000, std::stoull(a[2]) * 1000);
		for (int i = 0; is_ended && i < times; i++)
			window_call_ended(&w, std::stoull(a[1]) * 1000, std::stoull(a[3]) * 1000,
					  in_flight, std::stoull(a[2]) * 1000);
		return size();
	}
};

bool registered =
	script_register("window", "window.test", [] { return std::make_unique<window_script>(); });
} // namespace
