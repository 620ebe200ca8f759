# Known red test cases are left out of ctest; tools/known-red runs them.

set(HORNBEAMWEIR_KNOWN_RED "${CMAKE_SOURCE_DIR}/KNOWN-RED.txt"
    CACHE FILEPATH "List of known red tests")

# Sets a variable to the Catch2 arguments that leave out a program's known red
# cases.
function(hornbeamweir_known_red_filters program variable)
    set(filters "")
    if(EXISTS "${HORNBEAMWEIR_KNOWN_RED}")
        set_property(DIRECTORY APPEND PROPERTY
            CMAKE_CONFIGURE_DEPENDS "${HORNBEAMWEIR_KNOWN_RED}")
        file(STRINGS "${HORNBEAMWEIR_KNOWN_RED}" lines
            REGEX "^  test: ${program} \"")
        foreach(line IN LISTS lines)
            string(REGEX REPLACE "^  test: [^ ]+ (\".*\")$" "~\\1" filter
                "${line}")
            list(APPEND filters "${filter}")
        endforeach()
    endif()
    set(${variable} "${filters}" PARENT_SCOPE)
endfunction()
