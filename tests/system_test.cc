/*
 * Scripted tests of whole deployments: apricotd, the interface that apricotctl uses and the fake
 * backend servers and platform, as separate processes on loopback. The cases are in system.test.
 */
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include "process.h"
#include "proto/apricot.h"
#include "script.h"

namespace
{
struct json_ref {
	json_t *json;

	explicit json_ref(const std::string &text) : json(json_loads(text.c_str(), 0, nullptr))
	{
	}
	~json_ref()
	{
		json_decref(json);
	}
	json_ref(const json_ref &) = delete;
	json_ref &operator=(const json_ref &) = delete;
};

std::string json_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

json_int_t json_number(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

struct program {
	std::vector<std::string> args;
	std::unique_ptr<process> running;
	uint16_t port = 0; /* HTTP */
	uint16_t control_port = 0; /* backend servers only */
};

class deployment : public script_interpreter
{
      public:
	~deployment() override
	{
		for (auto &t : signal_threads)
			t.join();
		programs.clear();
		for (int fd : garbage_fds)
			close(fd);
		if (!dir.empty())
			std::filesystem::remove_all(dir);
	}

	std::string run(const std::vector<std::string> &words) override
	{
		using step = std::string (deployment::*)(const std::vector<std::string> &);
		static const std::map<std::string, step> steps = {
			{"deploy", &deployment::deploy},
			{"search", &deployment::search},
			{"command", &deployment::command},
			{"repeat", &deployment::repeat},
			{"entries", &deployment::entries},
			{"signal", &deployment::signal_step},
			{"start", &deployment::start},
			{"exit", &deployment::exit_step},
			{"control", &deployment::control},
			{"platform", &deployment::platform},
			{"groups_merge", &deployment::groups_merge},
			{"publish", &deployment::publish},
			{"version", &deployment::version},
			{"executions", &deployment::executions},
			{"no_new_work", &deployment::no_new_work},
			{"members", &deployment::members},
			{"gets_work", &deployment::gets_work},
			{"searches_complete", &deployment::searches_complete},
			{"ready", &deployment::ready},
			{"ready_within", &deployment::ready_within},
			{"vm_list_set", &deployment::vm_list_set},
			{"post", &deployment::post},
			{"wait", &deployment::wait_step},
			{"load_start", &deployment::load_start},
			{"load_results", &deployment::load_results},
			{"garbage_send", &deployment::garbage_step},
			{"garbage_close", &deployment::garbage_close},
			{"after_ms", &deployment::after_ms},
		};
		auto found = steps.find(words[0]);

		if (found == steps.end())
			return "unknown step " + words[0] + "\n";
		return (this->*found->second)(words);
	}

      private:
	/* deploy KIND [without NAME...]: generates a deployment; starts all but the named. */
	std::string deploy(const std::vector<std::string> &words)
	{
		char name[] = "/tmp/apricot-system-XXXXXX";
		std::set<std::string> excluded(words.begin() + 2, words.end());
		std::string line;

		if (!mkdtemp(name))
			return "cannot create a temporary directory\n";
		dir = name;
		base = ports_reserve();
		if (process({TEST_DIR "/../scripts/gen-deployment", "--base", std::to_string(base),
			     words[1], dir})
			    .exit_wait(20000) != 0)
			return "gen-deployment failed\n";
		std::ifstream in(dir + "/processes");
		while (std::getline(in, line))
			program_parse(line);
		for (auto &entry : programs)
			if (!excluded.count(entry.first) && !is_daemon(entry.first))
				program_start(entry.first);
		for (auto &entry : programs)
			if (!excluded.count(entry.first) && is_daemon(entry.first))
				program_start(entry.first);
		for (auto &entry : programs)
			if (!excluded.count(entry.first) && is_daemon(entry.first) &&
			    !ready_wait(entry.first))
				return entry.first + " is not ready\n";
		if (!wait_until([&] { return entry_lists_are_complete(excluded); }))
			return "an entry list does not name all daemons\n";
		return "ready\n";
	}

	/* True when the entry list of each daemon names all daemons that were started. */
	bool entry_lists_are_complete(const std::set<std::string> &excluded)
	{
		size_t daemons = 0;

		for (auto &entry : programs)
			daemons += is_daemon(entry.first) && !excluded.count(entry.first);
		for (auto &entry : programs) {
			if (!is_daemon(entry.first) || excluded.count(entry.first))
				continue;
			json_ref body(http_get(entry.second.port, "/entries").body);

			if (json_array_size(json_object_get(body.json, "entries")) != daemons)
				return false;
		}
		return true;
	}

	void program_parse(const std::string &line)
	{
		std::istringstream in(line);
		std::string name, ports, word;
		program p;

		std::getline(in, name, '\t');
		std::getline(in, ports, '\t');
		while (in >> word)
			p.args.push_back(word);
		p.port = std::stoi(ports.substr(ports.find(':') + 1));
		for (size_t i = 0; i + 1 < p.args.size(); i++)
			if (p.args[i] == "--control-port")
				p.control_port = std::stoi(p.args[i + 1]);
		programs[name] = std::move(p);
	}

	static bool is_daemon(const std::string &name)
	{
		return name.rfind("entry-", 0) == 0;
	}

	void program_start(const std::string &name)
	{
		program &p = programs.at(name);
		uint16_t port = p.control_port ? p.control_port : p.port;

		p.running = std::make_unique<process>(p.args);
		wait_until([&] { return http_connection(port).is_open(); });
	}

	bool ready_wait(const std::string &name, int timeout_ms = 5000)
	{
		return wait_until(
			[&] {
				json_ref status(http_get(programs.at(name).port, "/status").body);

				return json_is_true(json_object_get(
					json_object_get(status.json, "config"), "ready"));
			},
			timeout_ms);
	}

	static std::string missing_shards_text(const json_t *missing)
	{
		std::string out;
		size_t i;
		json_t *shard;

		json_array_foreach(missing, i, shard)
		{
			out += (i ? "," : "") + std::to_string(json_number(shard, "shard"));
		}
		return out.empty() ? "none" : out;
	}

	/* The different reasons for missing shards, each with a space before it. */
	static std::string missing_reasons_text(const json_t *missing)
	{
		std::set<std::string> reasons;
		std::string out;
		size_t i;
		json_t *shard;

		json_array_foreach(missing, i, shard)
		{
			reasons.insert(json_text(shard, "reason"));
		}
		for (const auto &reason : reasons)
			out += " " + reason;
		return out;
	}

	/*
	 * search ENTRY SERVICE: prints the result, the index version and the coverage, and says so
	 * if a hit belongs to another index version or to a shard that is not covered.
	 */
	std::string search(const std::vector<std::string> &words)
	{
		http_answer answer =
			http_post(programs.at(words[1]).port, "/search",
				  "{\"service\": \"" + words[2] + "\", \"query\": \"q\"}");
		json_ref body(answer.body);
		const json_t *coverage = json_object_get(body.json, "coverage");
		const json_t *snapshot = json_object_get(body.json, "snapshot");
		std::set<json_int_t> included;
		std::ostringstream out;
		size_t i;
		json_t *item;
		bool hits_fit = true;

		if (!coverage)
			return json_text(body.json, "reason") + "\n";
		json_array_foreach(json_object_get(coverage, "included"), i, item)
		{
			included.insert(json_integer_value(item));
		}
		json_array_foreach(json_object_get(body.json, "hits"), i, item)
		{
			std::string mark =
				"-v" + std::to_string(json_number(snapshot, "index_version")) + "-";

			hits_fit = hits_fit && included.count(json_number(item, "shard")) &&
				   json_text(item, "id").find(mark) != std::string::npos;
		}
		out << json_text(body.json, "reason") << " index "
		    << json_number(snapshot, "index_version") << " included " << included.size()
		    << " of " << json_number(coverage, "shards") << " missing "
		    << missing_shards_text(json_object_get(coverage, "missing"))
		    << missing_reasons_text(json_object_get(coverage, "missing"))
		    << (hits_fit ? "" : " with hits of another version or shard") << "\n";
		return out.str();
	}

	/*
	 * searches_complete ENTRY SERVICE MS: searches repeatedly for that time. Prints "all" if
	 * each response was complete and consistent, otherwise one of the others.
	 */
	std::string searches_complete(const std::vector<std::string> &words)
	{
		std::set<std::string> others;
		size_t n = 0;

		for (int64_t end = clock_ms() + std::stoi(words[3]); clock_ms() < end; n++) {
			std::string answer = search(words);

			if (answer.rfind("ok ", 0) != 0 ||
			    answer.find("another") != std::string::npos)
				others.insert(answer);
		}
		if (others.empty())
			return n > 0 ? "all\n" : "none sent\n";
		return std::to_string(others.size()) +
		       " kinds of failures, one: " + *others.begin();
	}

	/* ready ENTRY: prints whether the entry says that it has a configuration. */
	std::string ready(const std::vector<std::string> &words)
	{
		json_ref status(http_get(programs.at(words[1]).port, "/status").body);
		const json_t *config = json_object_get(status.json, "config");

		return json_is_true(json_object_get(config, "ready")) ? "yes\n" : "no\n";
	}

	/* ready_within MS ENTRY: waits up to MS until the entry says so; prints as ready does. */
	std::string ready_within(const std::vector<std::string> &words)
	{
		return ready_wait(words[2], std::stoi(words[1])) ? "yes\n" : "no\n";
	}

	std::string command_send(const std::string &entry, const std::string &service,
				 const std::string &id)
	{
		http_answer answer = http_post(programs.at(entry).port, "/command",
					       "{\"service\": \"" + service + "\", \"id\": \"" +
						       id + "\", \"key\": \"k\", \"body\": 1}");
		json_ref body(answer.body);

		if (answer.status == 0)
			return "no answer\n";
		if (json_text(body.json, "reason") == "bad_id")
			return "bad id " + id + "\n";
		return json_text(body.json, "outcome") + " " + json_text(body.json, "reason") +
		       "\n";
	}

	std::string command_id_create(const std::string &entry)
	{
		json_ref body(http_get(programs.at(entry).port, "/entries").body);
		size_t i;
		json_t *item;

		json_array_foreach(json_object_get(body.json, "entries"), i, item)
		{
			if (json_text(item, "vm") == entry)
				return json_text(item, "id_prefix") + ".test" +
				       std::to_string(10000 + ids++);
		}
		return "none";
	}

	/* command ENTRY SERVICE: sends a command with a new id of that entry. */
	std::string command(const std::vector<std::string> &words)
	{
		last_id = command_id_create(words[1]);
		if (last_id == "none")
			return "the entry list has no id prefix of " + words[1] + "\n";
		return command_send(words[1], words[2], last_id);
	}

	/* repeat ENTRY SERVICE: sends the last command id again. */
	std::string repeat(const std::vector<std::string> &words)
	{
		return command_send(words[1], words[2], last_id);
	}

	/* entries ENTRY: prints the VMs of its entry list, sorted. */
	std::string entries(const std::vector<std::string> &words)
	{
		json_ref body(http_get(programs.at(words[1]).port, "/entries").body);
		std::set<std::string> names;
		std::string out;
		size_t i;
		json_t *item;

		json_array_foreach(json_object_get(body.json, "entries"), i, item)
		{
			names.insert(json_text(item, "vm"));
		}
		for (const auto &name : names)
			out += (out.empty() ? "" : " ") + name;
		return out + "\n";
	}

	/* signal NAME... SIGNAL: sends a signal to programs; after KILL waits for their exit. */
	std::string signal_step(const std::vector<std::string> &words)
	{
		static const std::map<std::string, int> signals = {
			{"KILL", SIGKILL}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}, {"TERM", SIGTERM}};

		for (size_t i = 1; i + 1 < words.size(); i++) {
			process &p = *programs.at(words[i]).running;

			p.signal_send(signals.at(words.back()));
			if (words.back() == "KILL")
				p.exit_wait();
		}
		return "";
	}

	/* after_ms MS signal NAME... SIGNAL: sends it MS later, while the next steps run. */
	std::string after_ms(const std::vector<std::string> &words)
	{
		int64_t at_ms = clock_ms() + std::stoi(words[1]);
		std::vector<std::string> step(words.begin() + 2, words.end());

		signal_threads.emplace_back([this, at_ms, step] {
			std::this_thread::sleep_for(std::chrono::milliseconds(at_ms - clock_ms()));
			signal_step(step);
		});
		return "";
	}

	/* start NAME [ARGUMENT...]: starts a program (again), with the arguments added. */
	std::string start(const std::vector<std::string> &words)
	{
		program &p = programs.at(words[1]);

		p.args.insert(p.args.end(), words.begin() + 2, words.end());
		for (auto &arg : p.args) {
			size_t at = arg.find("RPC-OF-");

			/* RPC-OF-entry-0 stands for the RPC address of that daemon. */
			if (at != std::string::npos)
				arg = rpc_address(arg.substr(at + 7));
		}
		program_start(words[1]);
		return "";
	}

	std::string rpc_address(const std::string &name)
	{
		const auto &args = programs.at(name).args;
		auto at = std::find(args.begin(), args.end(), "--rpc");

		return at == args.end() ? "" : *(at + 1);
	}

	/* exit NAME SECONDS: waits at most that long for the exit; prints the exit status. */
	std::string exit_step(const std::vector<std::string> &words)
	{
		int status = programs.at(words[1]).running->exit_wait(std::stoi(words[2]) * 1000);

		return "status " + std::to_string(status) + "\n";
	}

	/* control NAME KEY VALUE: sets a control of a fake backend server. NAME may end in '*'. */
	std::string control(const std::vector<std::string> &words)
	{
		std::string prefix = words[1].substr(0, words[1].find('*'));
		bool all = prefix != words[1];

		for (auto &entry : programs) {
			if (all ? entry.first.rfind(prefix, 0) != 0 : entry.first != words[1])
				continue;
			http_answer answer =
				http_post(entry.second.control_port,
					  "/control?key=" + words[2] + "&value=" + words[3]);
			if (answer.status != 200)
				return answer.body + "\n";
		}
		return "";
	}

	/* platform MODE: sets the mode of the fake platform. */
	std::string platform(const std::vector<std::string> &words)
	{
		http_post(programs.at("platform").port, "/control?key=mode&value=" + words[1]);
		return "";
	}

	json_t *manifest_load()
	{
		return json_load_file((dir + "/manifest.json").c_str(), 0, nullptr);
	}

	/* Takes over the caller's reference to the manifest. */
	void manifest_publish(json_t *manifest)
	{
		char *text = json_dumps(manifest, 0);

		json_dump_file(manifest, (dir + "/manifest.json").c_str(), 0);
		http_put(programs.at("platform").port, "/v1/manifest", text);
		free(text);
		json_decref(manifest);
	}

	/*
	 * groups_merge SERVICE: merges the groups of the service into one, so that each of its
	 * leaves is a replica of all its shards.
	 */
	std::string groups_merge(const std::vector<std::string> &words)
	{
		json_t *manifest = manifest_load();
		json_t *groups = json_object_get(manifest, "groups");
		json_t *first = nullptr;

		for (size_t i = 0; i < json_array_size(groups);) {
			json_t *group = json_array_get(groups, i);

			if (json_text(group, "service") != words[1] || !first) {
				first = json_text(group, "service") == words[1] ? group : first;
				i++;
				continue;
			}
			for (const char *key : {"shards", "leaves"})
				json_array_extend(json_object_get(first, key),
						  json_object_get(group, key));
			json_array_remove(groups, i);
		}
		manifest_publish(manifest);
		return "";
	}

	/* publish SERVICE KEY NUMBER: sets a number of a service and publishes the manifest. */
	std::string publish(const std::vector<std::string> &words)
	{
		json_t *manifest = manifest_load();
		size_t i;
		json_t *service;

		json_array_foreach(json_object_get(manifest, "services"), i, service)
		{
			if (json_text(service, "name") == words[1])
				json_object_set_new(service, words[2].c_str(),
						    json_integer(std::stoi(words[3])));
		}
		manifest_publish(manifest);
		return "";
	}

	json_int_t config_version(const std::string &entry)
	{
		json_ref status(http_get(programs.at(entry).port, "/status").body);

		return json_number(json_object_get(status.json, "config"), "version");
	}

	/*
	 * version NUMBER MS ENTRY...: waits up to MS until the entries report that configuration
	 * version in /status. Prints the version of each.
	 */
	std::string version(const std::vector<std::string> &words)
	{
		json_int_t wanted = std::stoi(words[1]);
		std::string out;

		wait_until(
			[&] {
				for (size_t i = 3; i < words.size(); i++)
					if (config_version(words[i]) != wanted)
						return false;
				return true;
			},
			std::stoi(words[2]));
		for (size_t i = 3; i < words.size(); i++)
			out += words[i] + " " + std::to_string(config_version(words[i])) + "\n";
		return out;
	}

	/*
	 * executions BACKEND...: prints how many command ids the backend servers have recorded as
	 * run, and how often one of them ran at most.
	 */
	std::string executions(const std::vector<std::string> &words)
	{
		size_t ran = 0;
		json_int_t most = 0;

		for (size_t i = 1; i < words.size(); i++) {
			json_ref record(
				http_get(programs.at(words[i]).control_port, "/record").body);
			const char *id;
			json_t *times;

			json_object_foreach(json_object_get(record.json, "commands"), id, times)
			{
				ran++;
				most = std::max(most, json_integer_value(times));
			}
		}
		return "ids " + std::to_string(ran) + " at most " + std::to_string(most) + "\n";
	}

	/* Returns how many calls a backend server's own record says that its leaves received. */
	json_int_t received_count(const std::string &backend)
	{
		json_ref record(http_get(programs.at(backend).control_port, "/record").body);
		json_int_t sum = 0;
		size_t i;
		json_t *leaf;

		json_array_foreach(json_object_get(record.json, "leaves"), i, leaf)
		{
			sum += json_number(leaf, "received");
		}
		return sum;
	}

	/*
	 * no_new_work BACKEND MS: searches for MS, then for another second. Prints "none" if the
	 * backend server receives no call in that second.
	 */
	std::string no_new_work(const std::vector<std::string> &words)
	{
		json_int_t before, after;

		for (int64_t end = clock_ms() + std::stoi(words[2]); clock_ms() < end;)
			search({"search", "entry-0", "catalogue"});
		before = received_count(words[1]);
		for (int64_t end = clock_ms() + 1000; clock_ms() < end;)
			search({"search", "entry-0", "catalogue"});
		after = received_count(words[1]);
		return after == before ? "none\n"
				       : "received " + std::to_string(after - before) + "\n";
	}

	/* gets_work BACKEND MS: prints whether the backend server gets a call within MS. */
	std::string gets_work(const std::vector<std::string> &words)
	{
		json_int_t before = received_count(words[1]);

		return wait_until(
			       [&] {
				       search({"search", "entry-0", "catalogue"});
				       return received_count(words[1]) > before;
			       },
			       std::stoi(words[2]))
			       ? "yes\n"
			       : "no work\n";
	}

	/* members ENTRY MS STATE NAME...: prints if ENTRY sees all in that state within MS. */
	std::string members(const std::vector<std::string> &words)
	{
		auto sees = [&] {
			json_ref status(http_get(programs.at(words[1]).port, "/status").body);
			std::map<std::string, std::string> states;
			size_t i;
			json_t *member;

			json_array_foreach(
				json_object_get(json_object_get(status.json, "membership"),
						"members"),
				i, member)
			{
				states[json_text(member, "vm")] = json_text(member, "state");
			}
			for (size_t j = 4; j < words.size(); j++) {
				auto state = states.find(words[j]);

				if (words[3] != (state == states.end() ? "absent" : state->second))
					return false;
			}
			return true;
		};

		return wait_until(sees, std::stoi(words[2])) ? "yes\n" : "no\n";
	}

	/* vm_list_set NAME STATE: sets the state of a VM in the platform's VM list. */
	std::string vm_list_set(const std::vector<std::string> &words)
	{
		json_t *vms = json_load_file((dir + "/vms.json").c_str(), 0, nullptr);
		size_t i;
		json_t *vm;
		char *text;

		json_array_foreach(json_object_get(vms, "vms"), i, vm)
		{
			if (json_text(vm, "name") == words[1])
				json_object_set_new(vm, "state", json_string(words[2].c_str()));
		}
		json_dump_file(vms, (dir + "/vms.json").c_str(), 0);
		text = json_dumps(vms, 0);
		http_put(programs.at("platform").port, "/v1/vms", text);
		free(text);
		json_decref(vms);
		return "";
	}

	/* post ENTRY PATH BODY: prints status and result; for malformed requests. */
	std::string post(const std::vector<std::string> &words)
	{
		std::string text;

		for (size_t i = 3; i < words.size(); i++)
			text += (i > 3 ? " " : "") + words[i];
		http_answer answer = http_post(programs.at(words[1]).port, words[2], text);
		json_ref body(answer.body);

		return std::to_string(answer.status) + " " + json_text(body.json, "reason") + "\n";
	}

	/* wait MS */
	std::string wait_step(const std::vector<std::string> &words)
	{
		wait_until([] { return false; }, std::stoi(words[1]));
		return "";
	}

	/* load_start ENTRY SERVICE COUNT: sends searches without reading the responses. */
	std::string load_start(const std::vector<std::string> &words)
	{
		for (int i = 0; i < std::stoi(words[3]); i++) {
			open.push_back(
				std::make_unique<http_connection>(programs.at(words[1]).port));
			open.back()->request_send("POST", "/search", {},
						  "{\"service\": \"" + words[2] +
							  "\", \"query\": \"q\"}");
		}
		return "";
	}

	/* load_results: reads the responses of load_start; prints how many are complete. */
	std::string load_results(const std::vector<std::string> &)
	{
		std::string others;
		size_t n = 0;

		for (auto &connection : open) {
			json_ref body(connection->answer_read().body);
			const json_t *coverage = json_object_get(body.json, "coverage");
			const json_t *first =
				json_array_get(json_object_get(coverage, "missing"), 0);

			n += json_is_true(json_object_get(coverage, "complete"));
			if (first)
				others += ", one misses " +
					  std::to_string(json_number(first, "shard")) + " for " +
					  json_text(first, "reason");
		}
		std::string out = std::to_string(n) + " of " + std::to_string(open.size()) +
				  " complete" + others + "\n";
		open.clear();
		return out;
	}

	/* Random bytes, mostly after the start of an RPC or HTTP message, so that they are read. */
	static std::string garbage_create(std::mt19937 &random, bool is_http, bool is_datagram)
	{
		static const char *const starts[] = {
			"", "POST /search HTTP/1.1\r\nContent-Length: 100000\r\n\r\n",
			"POST /command HTTP/1.1\r\nContent-Length: 50\r\n\r\n{\"service\": \"",
			"POST /search HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n",
			"GET /entries HTTP/1.1\r\nX-Caller: "};
		std::string out;
		size_t n_bytes = random() % 2000;

		if (is_http) {
			out = starts[random() % (sizeof(starts) / sizeof(starts[0]))];
		} else if (random() % 4 != 0) {
			/* A call of apricot.x; its record mark may announce a long record. */
			uint32_t words[] = {htonl(0x80000000u | (random() % 4 ? 1000 : 20000)),
					    htonl(random()),
					    0,
					    htonl(2),
					    htonl(APRICOT_PROGRAM),
					    htonl(APRICOT_VERSION),
					    htonl(random() % 9),
					    0,
					    0,
					    0,
					    0};

			out.assign((const char *)words, sizeof(words));
			out.erase(0, is_datagram ? sizeof(words[0]) : 0);
		}
		for (size_t i = 0; i < n_bytes; i++)
			out += (char)(random() % 3 ? random() : 0);
		return out;
	}

	void garbage_send(const std::string &message, uint16_t port, int type)
	{
		struct sockaddr_in addr = {};
		int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

		addr.sin_family = AF_INET;
		addr.sin_port = htons(port);
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0)
			send(fd, message.data(), message.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
		garbage_fds.push_back(fd);
	}

	/*
	 * garbage_send ENTRY rpc|http SEED: sends 200 messages. Their connections stay open until
	 * garbage_close.
	 */
	std::string garbage_step(const std::vector<std::string> &words)
	{
		bool is_http = words[2] == "http";
		std::mt19937 random((unsigned int)std::stoi(words[3]));
		std::string rpc = rpc_address(words[1]);
		uint16_t port = is_http ? programs.at(words[1]).port
					: (uint16_t)std::stoi(rpc.substr(rpc.find(':') + 1));

		for (int i = 0; i < 200; i++) {
			bool is_datagram = !is_http && i % 2;

			garbage_send(garbage_create(random, is_http, is_datagram), port,
				     is_datagram ? SOCK_DGRAM : SOCK_STREAM);
		}
		return "";
	}

	/* garbage_close: closes the connections of garbage_send. */
	std::string garbage_close(const std::vector<std::string> &)
	{
		for (int fd : garbage_fds)
			close(fd);
		garbage_fds.clear();
		return "";
	}

	std::string dir;
	uint16_t base = 0;
	std::vector<int> garbage_fds;
	std::vector<std::thread> signal_threads;
	std::map<std::string, program> programs;
	std::vector<std::unique_ptr<http_connection>> open;
	std::string last_id;
	int ids = 0;
};

const bool registered =
	script_register("system", "system.test", [] { return std::make_unique<deployment>(); });
} // namespace
