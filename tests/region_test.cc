#include "region.h"
#include "script.h"

namespace
{
/* Routes are of the host h, unless the step names another. */
struct region_script : script_interpreter {
	struct region_table *t = region_table_parse(nullptr, nullptr);
	struct routemap *m = routemap_create(1);

	~region_script() override
	{
		region_table_destroy(t);
		routemap_put(m);
	}

	std::string table(const std::string &list)
	{
		GError *error = nullptr;
		struct region_table *read = region_table_parse(list.c_str(), &error);

		if (!read) {
			g_error_free(error);
			return "refused\n";
		}
		region_table_destroy(t);
		t = read;
		return region_table_is_empty(t) ? "empty\n" : "read\n";
	}

	/* route HOST everywhere|REGION... */
	void route(const std::vector<std::string> &w)
	{
		struct route *r = routemap_route_add(m);

		r->host = g_strdup(w[1].c_str());
		r->prefix = g_strdup("/");
		r->timeout_ms = 1000;
		route_target_add(r, "s", 1);
		if (w.size() > 2 && w[2] == "everywhere")
			return;
		route_regions_restrict(r);
		for (size_t i = 2; i < w.size(); i++)
			route_region_add(r, w[i].c_str());
	}

	/* leaf DC: whether the first route may call a leaf there */
	std::string leaf(const std::string &dc)
	{
		auto *r = static_cast<struct route *>(g_ptr_array_index(m->routes, 0));

		return region_allows(r->regions, region_table_find(t, dc.c_str())) ? "yes\n"
										   : "no\n";
	}

	/* vm HOST CALLER_REGION DC: whether the VM there suits the caller */
	std::string vm(const std::vector<std::string> &w)
	{
		g_autoptr(GPtrArray) routes = region_routes_list(m, w[1].c_str());

		if (!routes)
			return "unrestricted\n";
		return region_vm_suits(routes, w[2].c_str(), region_table_find(t, w[3].c_str()))
			       ? "yes\n"
			       : "no\n";
	}

	/* names HOST CALLER_REGION DC:WEIGHT:[o|c|u|-]...: offered, only chosen, only usable or not
	 */
	std::string names(const std::vector<std::string> &w)
	{
		g_autoptr(GPtrArray) routes = region_routes_list(m, w[1].c_str());
		std::vector<struct region_vm> vms;
		std::string out;

		for (size_t i = 3; i < w.size(); i++) {
			size_t colon = w[i].find(':');
			char what = w[i].back();
			struct region_vm vm = {};

			vm.region = region_table_find(t, w[i].substr(0, colon).c_str());
			vm.name_hash = i;
			vm.weight = (uint32_t)std::stoul(w[i].substr(colon + 1));
			vm.is_offered = what == 'o';
			vm.is_chosen = what == 'o' || what == 'c';
			vm.is_usable = what != '-';
			vms.push_back(vm);
		}
		unsigned int n =
			region_vms_name(vms.data(), (unsigned)vms.size(), routes, w[2].c_str());

		for (size_t i = 0; i < vms.size(); i++)
			if (vms[i].is_named)
				out += " " + w[i + 3];
		return std::to_string(n) + out + "\n";
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "table")
			return table(w.size() > 1 ? w[1] : "");
		if (w[0] == "route")
			route(w);
		else if (w[0] == "publish")
			return routemap_publish(m, nullptr) ? "" : "?\n";
		else if (w[0] == "leaf")
			return leaf(w[1]);
		else if (w[0] == "vm")
			return vm(w);
		else if (w[0] == "names")
			return names(w);
		else
			return "?\n";
		return "";
	}
};

const bool is_registered =
	script_register("region", "region.test", [] { return std::make_unique<region_script>(); });
} // namespace
