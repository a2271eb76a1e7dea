# The identity of the sources that a program is built from: a digest of the names and contents of
# all files below src, platform and cmake, and of CMakeLists.txt.
#
# As a script: cmake -D SOURCE_DIR=DIR [-D OUTPUT=FILE] -P sourceid.cmake
# prints the identity, or writes a C++ file that defines it if it has changed.

# Sets `manifest` to one line "DIGEST PATH" for each source file, and `id` to their digest.
function(kelptally_list_sources source_dir manifest id)
    file(GLOB_RECURSE paths LIST_DIRECTORIES false RELATIVE ${source_dir}
        ${source_dir}/CMakeLists.txt ${source_dir}/src/* ${source_dir}/platform/* ${source_dir}/cmake/*)
    list(SORT paths)
    set(lines "")
    foreach(path IN LISTS paths)
        file(SHA256 ${source_dir}/${path} digest)
        string(APPEND lines "${digest} ${path}\n")
    endforeach()
    string(SHA256 digest "${lines}")
    string(SUBSTRING ${digest} 0 12 digest)
    set(${manifest} "${lines}" PARENT_SCOPE)
    set(${id} ${digest} PARENT_SCOPE)
endfunction()

# Make compares file times only. Discards all objects if a source has changed without becoming newer
# than the program, as with a copy that keeps file times: the program would be the earlier one.
function(kelptally_discard_stale_objects source_dir build_dir program)
    set(record ${build_dir}/sources.txt)
    kelptally_list_sources(${source_dir} manifest id)
    set(recorded "")
    if(EXISTS ${record} AND EXISTS ${program})
        file(STRINGS ${record} recorded)
    endif()
    string(REPLACE "\n" ";" lines "${manifest}")
    list(REMOVE_ITEM lines "" ${recorded})
    foreach(line IN LISTS lines)
        string(REGEX REPLACE "^[0-9a-f]+ " "" path "${line}")
        if(recorded AND NOT ${program} IS_NEWER_THAN ${source_dir}/${path})
            continue()
        endif()
        file(GLOB_RECURSE objects ${build_dir}/*.o ${build_dir}/*.a)
        if(objects)
            message(STATUS "${path} has changed, but is not newer than the program: "
                "discarding all objects")
            file(REMOVE ${objects})
        endif()
        break()
    endforeach()
    file(WRITE ${record} "${manifest}")
endfunction()

if(CMAKE_SCRIPT_MODE_FILE STREQUAL CMAKE_CURRENT_LIST_FILE)
    file(REAL_PATH ${SOURCE_DIR} source_dir)
    kelptally_list_sources(${source_dir} manifest id)
    if(NOT OUTPUT)
        execute_process(COMMAND ${CMAKE_COMMAND} -E echo ${id})
        return()
    endif()
    # Leaves the file as it is if the identity is the same.
    file(CONFIGURE OUTPUT ${OUTPUT} @ONLY CONTENT [[
#include "core/sourceid.h"

namespace kelptally {

const std::string_view sourceId = "@id@";

} // namespace kelptally
]])
endif()
