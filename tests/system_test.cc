/*
 * Scripted tests of whole deployments: apricotd, apricotctl's interface and the stand-ins as
 * separate processes on loopback. tests/system.test holds the cases.
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

std::string text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

json_int_t number_of(const json_t *object, const char *key)
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
		for (auto &t : signallers)
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
			{"deploy", &deployment::deploy},   {"ask", &deployment::ask},
			{"command", &deployment::command}, {"repeat", &deployment::repeat},
			{"entries", &deployment::entries}, {"signal", &deployment::signal_step},
			{"start", &deployment::start},	   {"exit", &deployment::exit_step},
			{"control", &deployment::control}, {"platform", &deployment::platform},
			{"merge", &deployment::merge},	   {"publish", &deployment::publish},
			{"version", &deployment::version}, {"runs", &deployment::runs},
			{"quiet", &deployment::quiet},	   {"members", &deployment::members},
			{"busy", &deployment::busy},	   {"complete", &deployment::complete},
			{"ready", &deployment::ready},	   {"list", &deployment::list},
			{"post", &deployment::post},	   {"wait", &deployment::wait_step},
			{"load", &deployment::load},	   {"loaded", &deployment::loaded},
			{"garbage", &deployment::garbage}, {"tidy", &deployment::tidy},
			{"later", &deployment::later},
		};
		auto found = steps.find(words[0]);

		if (found == steps.end())
			return "unknown step " + words[0] + "\n";
		return (this->*found->second)(words);
	}

      private:
	/* deploy KIND [without NAME...]: generates and starts everything but the named programs. */
	std::string deploy(const std::vector<std::string> &words)
	{
		char name[] = "/tmp/apricot-system-XXXXXX";
		std::set<std::string> held(words.begin() + 2, words.end());
		std::string line;

		if (!mkdtemp(name))
			return "no directory\n";
		dir = name;
		base = ports_reserve();
		if (process({TEST_DIR "/../scripts/gen-deployment", "--base", std::to_string(base),
			     words[1], dir})
			    .exit_wait(20000) != 0)
			return "not generated\n";
		std::ifstream in(dir + "/processes");
		while (std::getline(in, line))
			program_add(line);
		for (auto &entry : programs)
			if (!held.count(entry.first) && !is_daemon(entry.first))
				launch(entry.first);
		for (auto &entry : programs)
			if (!held.count(entry.first) && is_daemon(entry.first))
				launch(entry.first);
		for (auto &entry : programs)
			if (!held.count(entry.first) && is_daemon(entry.first) &&
			    !ready_wait(entry.first))
				return entry.first + " is not ready\n";
		if (!wait_until([&] { return lists_are_whole(held); }))
			return "lists are not whole\n";
		return "ready\n";
	}

	/* Each daemon has heard from all others, so that its list names them. */
	bool lists_are_whole(const std::set<std::string> &held)
	{
		size_t daemons = 0;

		for (auto &entry : programs)
			daemons += is_daemon(entry.first) && !held.count(entry.first);
		for (auto &entry : programs) {
			if (!is_daemon(entry.first) || held.count(entry.first))
				continue;
			json_ref body(http_get(entry.second.port, "/entries").body);

			if (json_array_size(json_object_get(body.json, "entries")) != daemons)
				return false;
		}
		return true;
	}

	void program_add(const std::string &line)
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

	void launch(const std::string &name)
	{
		program &p = programs.at(name);
		uint16_t port = p.control_port ? p.control_port : p.port;

		p.running = std::make_unique<process>(p.args);
		wait_until([&] { return http_connection(port).is_open(); });
	}

	bool ready_wait(const std::string &name)
	{
		return wait_until([&] {
			json_ref status(http_get(programs.at(name).port, "/status").body);

			return json_is_true(
				json_object_get(json_object_get(status.json, "config"), "ready"));
		});
	}

	static std::string shards_text(const json_t *missing)
	{
		std::string out;
		size_t i;
		json_t *shard;

		json_array_foreach(missing, i, shard)
		{
			out += (i ? "," : "") + std::to_string(number_of(shard, "shard"));
		}
		return out.empty() ? "none" : out;
	}

	/* Each reason of a missing shard once. */
	static std::string reasons_text(const json_t *missing)
	{
		std::set<std::string> reasons;
		std::string out;
		size_t i;
		json_t *shard;

		json_array_foreach(missing, i, shard)
		{
			reasons.insert(text_of(shard, "reason"));
		}
		for (const auto &reason : reasons)
			out += " " + reason;
		return out;
	}

	/* ask ENTRY SERVICE: result, coverage and whether every hit fits snapshot and coverage. */
	std::string ask(const std::vector<std::string> &words)
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
		bool fits = true;

		if (!coverage)
			return text_of(body.json, "reason") + "\n";
		json_array_foreach(json_object_get(coverage, "included"), i, item)
		{
			included.insert(json_integer_value(item));
		}
		json_array_foreach(json_object_get(body.json, "hits"), i, item)
		{
			std::string mark =
				"-v" + std::to_string(number_of(snapshot, "index_version")) + "-";

			fits = fits && included.count(number_of(item, "shard")) &&
			       text_of(item, "id").find(mark) != std::string::npos;
		}
		out << text_of(body.json, "reason") << " index "
		    << number_of(snapshot, "index_version") << " included " << included.size()
		    << " of " << number_of(coverage, "shards") << " missing "
		    << shards_text(json_object_get(coverage, "missing"))
		    << reasons_text(json_object_get(coverage, "missing"))
		    << (fits ? "" : " with foreign hits") << "\n";
		return out.str();
	}

	/* complete ENTRY SERVICE MS: searches for that time; how many were not complete or mixed.
	 */
	std::string complete(const std::vector<std::string> &words)
	{
		std::set<std::string> others;
		size_t n = 0;

		for (int64_t end = clock_ms() + std::stoi(words[3]); clock_ms() < end; n++) {
			std::string answer = ask(words);

			if (answer.rfind("ok ", 0) != 0 ||
			    answer.find("foreign") != std::string::npos)
				others.insert(answer);
		}
		if (others.empty())
			return n > 0 ? "all\n" : "none sent\n";
		return std::to_string(others.size()) + " kinds, one: " + *others.begin();
	}

	/* ready ENTRY: whether it says that it has a configuration. */
	std::string ready(const std::vector<std::string> &words)
	{
		json_ref status(http_get(programs.at(words[1]).port, "/status").body);
		const json_t *config = json_object_get(status.json, "config");

		return json_is_true(json_object_get(config, "ready")) ? "yes\n" : "no\n";
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
		if (text_of(body.json, "reason") == "bad_id")
			return "bad id " + id + "\n";
		return text_of(body.json, "outcome") + " " + text_of(body.json, "reason") + "\n";
	}

	std::string id_create(const std::string &entry)
	{
		json_ref body(http_get(programs.at(entry).port, "/entries").body);
		size_t i;
		json_t *item;

		json_array_foreach(json_object_get(body.json, "entries"), i, item)
		{
			if (text_of(item, "vm") == entry)
				return text_of(item, "id_prefix") + ".test" +
				       std::to_string(10000 + ids++);
		}
		return "none";
	}

	/* command ENTRY SERVICE: with a new id of that entry. */
	std::string command(const std::vector<std::string> &words)
	{
		last_id = id_create(words[1]);
		if (last_id == "none")
			return "no id of that entry\n";
		return command_send(words[1], words[2], last_id);
	}

	/* repeat ENTRY SERVICE: the last id once more. */
	std::string repeat(const std::vector<std::string> &words)
	{
		return command_send(words[1], words[2], last_id);
	}

	/* entries ENTRY: the VMs of its list, sorted. */
	std::string entries(const std::vector<std::string> &words)
	{
		json_ref body(http_get(programs.at(words[1]).port, "/entries").body);
		std::set<std::string> names;
		std::string out;
		size_t i;
		json_t *item;

		json_array_foreach(json_object_get(body.json, "entries"), i, item)
		{
			names.insert(text_of(item, "vm"));
		}
		for (const auto &name : names)
			out += (out.empty() ? "" : " ") + name;
		return out + "\n";
	}

	/* signal NAME... SIGNAL */
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

	/* later MS signal NAME... SIGNAL: while the next steps run. */
	std::string later(const std::vector<std::string> &words)
	{
		int64_t at_ms = clock_ms() + std::stoi(words[1]);
		std::vector<std::string> step(words.begin() + 2, words.end());

		signallers.emplace_back([this, at_ms, step] {
			std::this_thread::sleep_for(std::chrono::milliseconds(at_ms - clock_ms()));
			signal_step(step);
		});
		return "";
	}

	/* start NAME [argument...]: also again, as a new process. */
	std::string start(const std::vector<std::string> &words)
	{
		program &p = programs.at(words[1]);

		p.args.insert(p.args.end(), words.begin() + 2, words.end());
		for (auto &arg : p.args) {
			size_t at = arg.find("RPC-OF-");

			/* RPC-OF-entry-0: the address of that daemon. */
			if (at != std::string::npos)
				arg = rpc_of(arg.substr(at + 7));
		}
		launch(words[1]);
		return "";
	}

	std::string rpc_of(const std::string &name)
	{
		const auto &args = programs.at(name).args;
		auto at = std::find(args.begin(), args.end(), "--rpc");

		return at == args.end() ? "" : *(at + 1);
	}

	/* exit NAME SECONDS: exit status, within the time. */
	std::string exit_step(const std::vector<std::string> &words)
	{
		int status = programs.at(words[1]).running->exit_wait(std::stoi(words[2]) * 1000);

		return "status " + std::to_string(status) + "\n";
	}

	/* control NAME KEY VALUE: NAME may end in '*'. */
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

	std::string platform(const std::vector<std::string> &words)
	{
		http_post(programs.at("platform").port, "/control?key=mode&value=" + words[1]);
		return "";
	}

	json_t *manifest_load()
	{
		return json_load_file((dir + "/manifest.json").c_str(), 0, nullptr);
	}

	/* Takes over the reference. */
	void manifest_publish(json_t *whole)
	{
		char *text = json_dumps(whole, 0);

		json_dump_file(whole, (dir + "/manifest.json").c_str(), 0);
		http_put(programs.at("platform").port, "/v1/manifest", text);
		free(text);
		json_decref(whole);
	}

	/* merge SERVICE: makes its groups one, so that each of its leaves is a replica of all
	 * shards. */
	std::string merge(const std::vector<std::string> &words)
	{
		json_t *whole = manifest_load();
		json_t *groups = json_object_get(whole, "groups");
		json_t *first = nullptr;

		for (size_t i = 0; i < json_array_size(groups);) {
			json_t *group = json_array_get(groups, i);

			if (text_of(group, "service") != words[1] || !first) {
				first = text_of(group, "service") == words[1] ? group : first;
				i++;
				continue;
			}
			for (const char *key : {"shards", "leaves"})
				json_array_extend(json_object_get(first, key),
						  json_object_get(group, key));
			json_array_remove(groups, i);
		}
		manifest_publish(whole);
		return "";
	}

	/* publish SERVICE KEY NUMBER: changes a number of a service in the manifest. */
	std::string publish(const std::vector<std::string> &words)
	{
		json_t *whole = manifest_load();
		size_t i;
		json_t *service;

		json_array_foreach(json_object_get(whole, "services"), i, service)
		{
			if (text_of(service, "name") == words[1])
				json_object_set_new(service, words[2].c_str(),
						    json_integer(std::stoi(words[3])));
		}
		manifest_publish(whole);
		return "";
	}

	json_int_t version_of(const std::string &entry)
	{
		json_ref status(http_get(programs.at(entry).port, "/status").body);

		return number_of(json_object_get(status.json, "config"), "version");
	}

	/* version NUMBER MS ENTRY...: whether all have it in force within the time. */
	std::string version(const std::vector<std::string> &words)
	{
		json_int_t wanted = std::stoi(words[1]);
		std::string out;

		wait_until(
			[&] {
				for (size_t i = 3; i < words.size(); i++)
					if (version_of(words[i]) != wanted)
						return false;
				return true;
			},
			std::stoi(words[2]));
		for (size_t i = 3; i < words.size(); i++)
			out += words[i] + " " + std::to_string(version_of(words[i])) + "\n";
		return out;
	}

	/* runs BACKEND...: command ids that ran, and how often at most, by their own record. */
	std::string runs(const std::vector<std::string> &words)
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

	/* Calls that reached the leaves of a backend server, by its own record. */
	json_int_t received(const std::string &backend)
	{
		json_ref record(http_get(programs.at(backend).control_port, "/record").body);
		json_int_t sum = 0;
		size_t i;
		json_t *leaf;

		json_array_foreach(json_object_get(record.json, "leaves"), i, leaf)
		{
			sum += number_of(leaf, "received");
		}
		return sum;
	}

	/* quiet BACKEND MS: no new work from MS after now on, while searches go on for a second. */
	std::string quiet(const std::vector<std::string> &words)
	{
		json_int_t before, after;

		for (int64_t end = clock_ms() + std::stoi(words[2]); clock_ms() < end;)
			ask({"ask", "entry-0", "catalogue"});
		before = received(words[1]);
		for (int64_t end = clock_ms() + 1000; clock_ms() < end;)
			ask({"ask", "entry-0", "catalogue"});
		after = received(words[1]);
		return after == before ? "quiet\n"
				       : "received " + std::to_string(after - before) + "\n";
	}

	/* busy BACKEND MS: whether it receives work again within the time. */
	std::string busy(const std::vector<std::string> &words)
	{
		json_int_t before = received(words[1]);

		return wait_until(
			       [&] {
				       ask({"ask", "entry-0", "catalogue"});
				       return received(words[1]) > before;
			       },
			       std::stoi(words[2]))
			       ? "busy\n"
			       : "no work\n";
	}

	/* members ENTRY MS STATE NAME...: whether it sees them so within the time. */
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
				states[text_of(member, "vm")] = text_of(member, "state");
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

	/* list NAME STATE: marks a machine in the platform's list. */
	std::string list(const std::vector<std::string> &words)
	{
		json_t *vms = json_load_file((dir + "/vms.json").c_str(), 0, nullptr);
		size_t i;
		json_t *vm;
		char *text;

		json_array_foreach(json_object_get(vms, "vms"), i, vm)
		{
			if (text_of(vm, "name") == words[1])
				json_object_set_new(vm, "state", json_string(words[2].c_str()));
		}
		json_dump_file(vms, (dir + "/vms.json").c_str(), 0);
		text = json_dumps(vms, 0);
		http_put(programs.at("platform").port, "/v1/vms", text);
		free(text);
		json_decref(vms);
		return "";
	}

	/* post ENTRY PATH BODY: status and result, for malformed requests. */
	std::string post(const std::vector<std::string> &words)
	{
		std::string text;

		for (size_t i = 3; i < words.size(); i++)
			text += (i > 3 ? " " : "") + words[i];
		http_answer answer = http_post(programs.at(words[1]).port, words[2], text);
		json_ref body(answer.body);

		return std::to_string(answer.status) + " " + text_of(body.json, "reason") + "\n";
	}

	std::string wait_step(const std::vector<std::string> &words)
	{
		wait_until([] { return false; }, std::stoi(words[1]));
		return "";
	}

	/* load ENTRY SERVICE COUNT: sends searches on open connections without reading the answers.
	 */
	std::string load(const std::vector<std::string> &words)
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

	/* loaded: how many of them got a complete answer. */
	std::string loaded(const std::vector<std::string> &)
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
					  std::to_string(number_of(first, "shard")) + " for " +
					  text_of(first, "reason");
		}
		std::string out = std::to_string(n) + " of " + std::to_string(open.size()) +
				  " complete" + others + "\n";
		open.clear();
		return out;
	}

	/* Random bytes after what makes a receiver read on: the start of an RPC or HTTP message. */
	static std::string garbage_message(std::mt19937 &random, bool is_http, bool is_datagram)
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
			/* Call header of a procedure of apricot.x, with the mark of a long record.
			 */
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

	/* garbage ENTRY rpc|http SEED: 200 messages; their connections stay open until "tidy". */
	std::string garbage(const std::vector<std::string> &words)
	{
		bool is_http = words[2] == "http";
		std::mt19937 random((unsigned int)std::stoi(words[3]));
		std::string rpc = rpc_of(words[1]);
		uint16_t port = is_http ? programs.at(words[1]).port
					: (uint16_t)std::stoi(rpc.substr(rpc.find(':') + 1));

		for (int i = 0; i < 200; i++) {
			bool is_datagram = !is_http && i % 2;

			garbage_send(garbage_message(random, is_http, is_datagram), port,
				     is_datagram ? SOCK_DGRAM : SOCK_STREAM);
		}
		return "";
	}

	/* tidy: closes the connections of garbage. */
	std::string tidy(const std::vector<std::string> &)
	{
		for (int fd : garbage_fds)
			close(fd);
		garbage_fds.clear();
		return "";
	}

	std::string dir;
	uint16_t base = 0;
	std::vector<int> garbage_fds;
	std::vector<std::thread> signallers;
	std::map<std::string, program> programs;
	std::vector<std::unique_ptr<http_connection>> open;
	std::string last_id;
	int ids = 0;
};

const bool registered =
	script_register("system", "system.test", [] { return std::make_unique<deployment>(); });
} // namespace
